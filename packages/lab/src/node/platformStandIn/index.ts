export type { EntranceFaults } from './entranceFaults.js';
export * from './platformStandIn.js';
