export * from './prepaidArrivals.js';
export * from './runPrepaidExperiment.js';
