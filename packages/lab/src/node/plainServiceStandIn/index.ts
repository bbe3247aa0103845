export * from './plainServiceStandIn.js';
