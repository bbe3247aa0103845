export * from './loadPhase.js';
export * from './proveDeployment.js';
export * from './runProve.js';
