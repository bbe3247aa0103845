export * from './admissionQueue.js';
export * from './drainRate.js';
export * from './queueDiscipline.js';
