export * from './fleetRunner.js';
export * from './routerProcess.js';
