export * from './types/configuration.js';
export * from './types/fleet.js';
export * from './types/money.js';
export type * from './types/routerContext.js';
export type * from './types/routerSettings.js';
export * from './node/resolveConfig.js';
export * from './utils/settingsDefaults.js';
export * from './utils/settingsSchema.js';
