/** Declarations of the proof: accounts with small budgets that run out, and one large budget. */

import type { LoadAccount, MixItem } from '../../types/load.js';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { apiKeyDigest } from '@flamingocourse/router';

export const PROVE_MODEL = 'prove-model';
export const MODEL_SERVICE = 'deel-llm';
export const PLAIN_SERVICE = 'shop-ledger';
export const TOKENS_PER_CALL = 10;

/** Accounts whose budget runs out during a phase; each phase tops them up. */
export const TIGHT_ACCOUNTS = ['tight-east', 'tight-west'] as const;
export const TIGHT_TOKENS = 5_000;

const WIDE_TOKENS = 5_000_000;
const MAX_TOKENS = 64;
const PREFIX_WORDS = 16;

/** Accounts of the load; the tight accounts together send most requests. */
export const proveAccounts: LoadAccount[] = [
  { name: 'wide', apiKey: 'prove-wide', weight: 4 },
  { name: 'tight-east', apiKey: 'prove-tight-east', weight: 3 },
  { name: 'tight-west', apiKey: 'prove-tight-west', weight: 2 },
];

const chat = {
  type: 'chat',
  workClass: 'drafts',
  model: PROVE_MODEL,
  streamShare: 0.7,
  maxTokens: MAX_TOKENS,
  sharedPrefixWords: PREFIX_WORDS,
} as const;

const entry = {
  type: 'entry',
  workClass: 'reservations',
  service: PLAIN_SERVICE,
  path: '/reservations',
} as const;

/** Mix of calls of the load. */
export const proveMix: MixItem[] = [
  { ...chat, naming: 'key', weight: 3 },
  { ...chat, naming: 'ticket', weight: 1 },
  { ...chat, naming: 'none', weight: 2 },
  { ...entry, naming: 'key', weight: 2 },
  { ...entry, naming: 'ticket', weight: 2 },
  { ...entry, type: 'read', workClass: 'stock', path: '/stock', naming: 'none', weight: 1 },
];

const workClass = {
  kind: 'WorkClass',
  target: { firstTokenMs: 1_000, completeMs: 10_000 },
  budgetShare: 1,
};

/** Writes the declarations to a file and returns its path; `models` are those of the service. */
export async function writeDeclarations(
  directory: string,
  name: string,
  models: readonly string[],
): Promise<string> {
  const file = join(directory, `${name}.jsonc`);
  await writeFile(file, JSON.stringify(declarations(models), null, 2));
  return file;
}

function declarations(models: readonly string[]): unknown[] {
  const accounts = proveAccounts.map((account) => ({
    kind: 'ClientAccount',
    name: account.name,
    apiKeyDigests: [apiKeyDigest(account.apiKey)],
    openingTokens: account.name === 'wide' ? WIDE_TOKENS : TIGHT_TOKENS,
    defaultClass: 'drafts',
  }));
  return [
    { kind: 'Deployment', name: 'prove', policy: 'avoid-overspend', rideThroughSeconds: 60 },
    {
      kind: 'Service',
      name: MODEL_SERVICE,
      type: 'model',
      discovery: { instanceList: MODEL_SERVICE },
      models,
      concurrencyPerServer: 16,
    },
    {
      kind: 'Service',
      name: PLAIN_SERVICE,
      type: 'plain',
      discovery: { instanceList: PLAIN_SERVICE },
      tokensPerCall: TOKENS_PER_CALL,
      concurrencyPerServer: 32,
    },
    { ...workClass, name: 'drafts', service: MODEL_SERVICE, maxOutputTokens: MAX_TOKENS },
    { ...workClass, name: 'reservations', service: PLAIN_SERVICE, idempotent: false },
    { ...workClass, name: 'stock', service: PLAIN_SERVICE, idempotent: true },
    ...accounts,
  ];
}
