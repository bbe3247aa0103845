export * from './engineStandIn.js';
