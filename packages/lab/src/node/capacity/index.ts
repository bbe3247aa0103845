export * from './capacityModel.js';
export * from './capacityReport.js';
export * from './costLine.js';
export * from './cpuTime.js';
export * from './fleetCosts.js';
export * from './measureSlopes.js';
export * from './targetSize.js';
export * from './trafficMeter.js';
export type * from './types.js';
