export * from './loadPhase.js';
export * from './proveStage.js';
export * from './runProve.js';
