export * from './link.js';
