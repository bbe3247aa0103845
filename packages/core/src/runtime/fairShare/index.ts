export * from './decayedRate.js';
export * from './evenAdmission.js';
export * from './retryOrder.js';
export * from './roomLevels.js';
export * from './serviceCapacity.js';
