export * from './memberHealth.js';
export * from './membership.js';
