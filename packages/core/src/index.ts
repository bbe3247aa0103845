export type * from './types/ids.js';
export type * from './types/refusal.js';
export type * from './types/journal.js';
export type * from './types/ledger.js';
export type * from './types/claim.js';
export type * from './types/declaration.js';
export type * from './types/member.js';
