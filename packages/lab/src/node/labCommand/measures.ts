/** Measurements and proofs by name; each resolves to the exit code. */

/** What a measurement is given from the command line. */
export interface MeasureOptions {
  seed: number;
  json?: string;
}

/** A named measurement. */
export type Measure = (options: MeasureOptions) => Promise<number>;

/** `npm run measure -- NAME`. */
export const measures: Record<string, Measure> = {};

/** `npm run prove`, once there is something to prove. */
export const prove: Measure | undefined = undefined;

/** `npm run mutants`, once there are mutants to catch. */
export const mutants: Measure | undefined = undefined;
