export * from './node/createGateway.js';
export * from './node/resolveGatewaySettings.js';
export * from './node/serverAgent.js';
export * from './runtime/retryAllowance.js';
export * from './runtime/attemptJudgement.js';
export type * from './types/call.js';
export type * from './types/context.js';
export * from './types/dialects.js';
export type * from './types/gatewaySettings.js';
