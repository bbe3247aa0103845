export * from './initialState.js';
export * from './findViolation.js';
export * from './mutants.js';
export * from './replayTrace.js';
export * from './rules.js';
export * from './scopes.js';
export type * from './types.js';
export * from './walk.js';
