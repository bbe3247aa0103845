export * from './attemptPlan.js';
export * from './concurrencyLimit.js';
export * from './loadEstimate.js';
export * from './reachability.js';
export * from './retryBudget.js';
export * from './serverChooser.js';
export * from './serverHealth.js';
export * from './serverPool.js';
