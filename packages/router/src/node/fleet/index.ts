export * from './configurationService.js';
export * from './fleetService.js';
export * from './membershipTable.js';
