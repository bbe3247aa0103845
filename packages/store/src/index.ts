export * from './node/httpObjectStore.js';
export * from './runtime/backOff.js';
export * from './runtime/circuit.js';
export * from './runtime/memoryObjectStore.js';
export * from './runtime/objectStore.js';
export * from './runtime/objectTable.js';
export type * from './types/objects.js';
export * from './utils/platformError.js';
