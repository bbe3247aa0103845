export * from './quarantine.js';
