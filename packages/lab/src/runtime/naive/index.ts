export * from './naiveFleet.js';
export * from './reducerFleet.js';
export * from './types.js';
