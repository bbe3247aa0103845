export * from './runMutants.js';
