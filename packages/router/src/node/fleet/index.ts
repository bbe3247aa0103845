export * from './configurationService.js';
export * from './declarationStore.js';
export * from './fleetService.js';
export * from './membershipTable.js';
