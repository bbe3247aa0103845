/** Measured points and the slopes that are drawn through them. */

/** One run: the values that were varied, and what it cost. */
export interface CostPoint {
  /** Varied values, by the names that {@link CostLine.drivers} lists. */
  at: Record<string, number>;
  cost: number;
}

/** A cost as a sum of one part for each driver and a fixed part. */
export interface CostLine {
  /** Unique name, by which the model finds it. */
  name: string;
  unit: string;
  drivers: string[];
  points: CostPoint[];
  /** Cost of one more of each driver. */
  slopes: Record<string, number>;
  /** Cost at zero of all drivers. */
  fixed: number;
  /** Part of the variation that the line explains, from 0 to 1. */
  fit: number;
  /** Largest measured value of each driver. */
  measuredTo: Record<string, number>;
}

/** All lines of one run, by name. */
export type CostLines = ReadonlyMap<string, CostLine>;

/** Tells the person at the terminal how far a run is. */
export type Progress = (line: string) => void;
