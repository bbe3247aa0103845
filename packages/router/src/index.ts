export * from './node/money/moneyService.js';
export * from './types/configuration.js';
export * from './types/fleet.js';
export * from './types/money.js';
export type * from './types/moneyPorts.js';
export type * from './types/routerContext.js';
export type * from './types/routerSettings.js';
