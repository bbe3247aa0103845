export * from './fleetShare.js';
export * from './instanceListAge.js';
export * from './memberHealth.js';
export * from './membership.js';
