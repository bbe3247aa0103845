export * from './runConfigMeasure.js';
