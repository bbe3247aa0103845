export * from './measureCapacity.js';
export * from './policies.js';
export * from './runRoutingExperiment.js';
export * from './runRoutingMeasure.js';
export type * from './types.js';
export * from './routingReport.js';
