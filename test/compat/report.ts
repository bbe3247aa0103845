/** What one check of two builds saw. */

export interface CompatReport {
  title: string;
  /** Figures, a sentence each. */
  seen: string[];
  /** Broken promises and things that have to happen and did not, a sentence each. */
  broken: string[];
}
