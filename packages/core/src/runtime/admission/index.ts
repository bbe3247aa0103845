export * from './admissionQueue.js';
export * from './drainRate.js';
export * from './queueDiscipline.js';
export * from './serviceTime.js';
export * from './importanceReserve.js';
export * from './engineMemory.js';
export * from './lateDecision.js';
export * from './usualTimes.js';
