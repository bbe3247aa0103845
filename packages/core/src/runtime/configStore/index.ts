export * from './configStore.js';
export * from './effectiveConfig.js';
