export * from './applyExamples.js';
export * from './runDemo.js';
export * from './startBackends.js';
