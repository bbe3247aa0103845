export * from './collectorOrder.js';
export * from './conditionTable.js';
export * from './demandSums.js';
export * from './packedSums.js';
export * from './pressureLevels.js';
