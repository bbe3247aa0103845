export { provenCrashCauses, refusedForMs } from './crashEvidence.js';
export * from './quarantine.js';
export * from './partFingerprint.js';
