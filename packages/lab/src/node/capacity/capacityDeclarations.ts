/** Declarations that the measurements write directly into a store. */

import type { Declaration } from '@flamingocourse/core';
import type { ObjectTable } from '@flamingocourse/store';
import { createHash } from 'node:crypto';
import { LabError } from '../../utils/labError.js';

/** Service, model and work class that the measurements use. */
export const measured = { service: 'deel-llm', model: 'deel-7b', workClass: 'drafts' };

const OPENING_TOKENS = 1_000_000_000;
const PLACES_PER_SERVER = 2_000;
const TARGET_MS = 30_000;

/** Returns the name of an account. */
export function accountName(index: number): string {
  return `account-${String(index).padStart(6, '0')}`;
}

/** Returns the API key of the callers of an account. */
export function accountKey(index: number): string {
  return `key-of-${accountName(index)}`;
}

/** Returns a client account; versions of it differ in the opening budget. */
export function declaredAccount(index: number, version = 0): Declaration {
  const digest = createHash('sha256').update(accountKey(index)).digest('hex');
  return {
    kind: 'ClientAccount',
    name: accountName(index),
    apiKeyDigests: [digest],
    openingTokens: OPENING_TOKENS + version,
    defaultClass: measured.workClass,
  };
}

/** Declares `count` accounts. */
export function declareAccounts(table: ObjectTable, count: number): void {
  for (let index = 0; index < count; index += 1) declareOne(table, declaredAccount(index));
}

/** Declares one work class and one model service, whose servers accept the whole load. */
export function declareService(table: ObjectTable): void {
  declareOne(table, {
    kind: 'Service',
    name: measured.service,
    type: 'model',
    discovery: { instanceList: measured.service },
    models: [measured.model],
    checksFencing: false,
    tokensPerCall: 0,
    concurrencyPerServer: PLACES_PER_SERVER,
  });
  declareOne(table, {
    kind: 'WorkClass',
    name: measured.workClass,
    service: measured.service,
    target: { firstTokenMs: TARGET_MS, completeMs: TARGET_MS * 2 },
    budgetShare: 1,
    importance: 'standard',
    idempotent: true,
    maxOutputTokens: 512,
  });
}

/** Creates or replaces one object. */
export function declareOne(table: ObjectTable, declaration: Declaration): void {
  const name = `${declaration.kind}.${declaration.name}`;
  const json = JSON.stringify(declaration);
  const known = table.get('declarations', name);
  const written = known
    ? table.update('declarations', name, known.version, json)
    : table.create('declarations', name, json);
  if (written.isErr) throw new LabError('apply-failed', `${name}: ${written.error}`);
}
