export * from './admissionQueue.js';
export * from './drainRate.js';
export * from './queueDiscipline.js';
export * from './serviceTime.js';
export * from './importanceReserve.js';
