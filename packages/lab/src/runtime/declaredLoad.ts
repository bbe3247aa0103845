/** Derives accounts and mix of a load from the declarations in force. */

import type {
  ClientAccountDeclaration,
  Declaration,
  Importance,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '@flamingocourse/core';
import type { LoadAccount, MixItem, Naming } from '../types/load.js';

/** API keys of the examples are `demo-` and the account's name. */
const DEMO_KEY_PREFIX = 'demo-';
const STREAM_SHARE = 0.7;
const MOST_DEMO_TOKENS = 64;
const SHARED_PREFIX_WORDS = 48;
const SMALLEST_WEIGHT = 1;

const classWeights: Record<Importance, number> = { first: 3, standard: 4, background: 1 };

/** What callers of a deployment do. */
export interface DeclaredLoad {
  accounts: LoadAccount[];
  mix: MixItem[];
}

/**
 * Builds a load in which every class and account takes part; large budgets call more.
 *
 * @example
 * const { accounts, mix } = declaredLoad(declarations);
 */
export function declaredLoad(declarations: readonly Declaration[]): DeclaredLoad {
  const services = new Map(
    declarations
      .filter((item): item is ServiceDeclaration => item.kind === 'Service')
      .map((service) => [service.name, service]),
  );
  const accounts = declarations.filter(
    (item): item is ClientAccountDeclaration => item.kind === 'ClientAccount',
  );
  const classes = declarations.filter(
    (item): item is WorkClassDeclaration => item.kind === 'WorkClass',
  );
  return {
    accounts: accounts.map(loadAccount),
    mix: classes.flatMap((item) => mixItems(item, services.get(item.service))),
  };
}

function loadAccount({ name, openingTokens }: ClientAccountDeclaration): LoadAccount {
  const weight = Math.max(SMALLEST_WEIGHT, openingTokens);
  return { name, apiKey: `${DEMO_KEY_PREFIX}${name}`, weight };
}

function mixItems(item: WorkClassDeclaration, service: ServiceDeclaration | undefined): MixItem[] {
  const weight = classWeights[item.importance];
  const workClass = item.name;
  if (!service) return [];
  if (service.type === 'model') {
    return service.models.slice(0, 1).map((model) => ({
      type: 'chat',
      workClass,
      model,
      weight,
      naming: 'key',
      streamShare: STREAM_SHARE,
      maxTokens: Math.min(MOST_DEMO_TOKENS, item.maxOutputTokens),
      sharedPrefixWords: SHARED_PREFIX_WORDS,
    }));
  }
  const call = { workClass, service: service.name, path: `/${workClass}` };
  const read: MixItem = { ...call, type: 'read', weight: weight / 2, naming: 'none' };
  if (item.idempotent) return [read];
  const entry = (naming: Naming): MixItem => ({
    ...call,
    type: 'entry',
    weight: weight / 2,
    naming,
  });
  return [read, entry('key'), entry('ticket')];
}
