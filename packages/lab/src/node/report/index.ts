export * from './renderReport.js';
