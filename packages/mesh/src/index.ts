export * from './node/meshClient.js';
export * from './node/meshServer.js';
export * from './runtime/heartbeatCodec.js';
export type { MeshRouter } from './runtime/meshRouter.js';
export * from './runtime/schemas.js';
export type * from './types/heartbeat.js';
export type * from './types/procedures.js';
export * from './utils/meshError.js';
