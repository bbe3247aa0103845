export { refusedForMs } from './crashEvidence.js';
export * from './quarantine.js';
