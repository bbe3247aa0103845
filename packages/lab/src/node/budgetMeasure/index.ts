export * from './measureBudget.js';
