export { provenCrashCauses as provenCauses, refusedForMs } from './crashEvidence.js';
export * from './quarantine.js';
