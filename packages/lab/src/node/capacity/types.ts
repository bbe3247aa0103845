/** Measured points and the cost lines that are fitted to them. */

/** One measurement: the values of the drivers and the cost. */
export interface CostPoint {
  /** Values by driver name; see {@link CostLine.drivers}. */
  at: Record<string, number>;
  cost: number;
}

/** A cost as a linear function of its drivers. */
export interface CostLine {
  /** Unique name, used by the model to look up the line. */
  name: string;
  unit: string;
  drivers: string[];
  points: CostPoint[];
  /** Cost per unit of each driver. */
  slopes: Record<string, number>;
  /** Cost when all drivers are zero. */
  fixed: number;
  /** Coefficient of determination (R²) of the fit. */
  fit: number;
  /** Largest measured value of each driver. */
  measuredTo: Record<string, number>;
}

/** All lines of one run, by name. */
export type CostLines = ReadonlyMap<string, CostLine>;

/** Reports the progress of a run to the terminal. */
export type Progress = (line: string) => void;
