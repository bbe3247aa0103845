export * from './network.js';
