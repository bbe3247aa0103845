/** Result of one check of two builds. */

export interface CompatReport {
  title: string;
  /** Measured figures, one sentence each. */
  seen: string[];
  /** Broken promises and expected events that did not happen, one sentence each. */
  broken: string[];
}
