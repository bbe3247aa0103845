export * from './runtime/routingExperiment/index.js';
