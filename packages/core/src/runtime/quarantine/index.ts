export { provenCrashCauses, refusedForMs } from './crashEvidence.js';
export * from './quarantine.js';
