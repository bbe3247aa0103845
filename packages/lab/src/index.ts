export * from './node/engineStandIn/index.js';
export * from './node/plainServiceStandIn/index.js';
export * from './runtime/answerText.js';
export * from './runtime/random.js';
export * from './types/engineStandIn.js';
export type * from './types/httpStandIn.js';
export * from './types/plainServiceStandIn.js';
