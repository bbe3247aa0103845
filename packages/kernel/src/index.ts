export * from './node/eventLog.js';
export * from './node/metrics.js';
export * from './runtime/channel.js';
export * from './runtime/clock.js';
export * from './runtime/eventCatalogue.js';
export * from './runtime/kernel.js';
export * from './runtime/metricCatalogue.js';
export * from './utils/layerError.js';
