export * from './breakConnection.js';
export * from './link.js';
