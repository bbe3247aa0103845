/** Derives the accounts and the request mix of a load from the declarations in force. */

import type {
  ClientAccountDeclaration,
  Declaration,
  Importance,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '@flamingocourse/core';
import type { LoadAccount, MixItem, Naming } from '../types/load.js';

/** The API key of an account in the examples is this prefix and the account's name. */
const DEMO_KEY_PREFIX = 'demo-';
const STREAM_SHARE = 0.7;
const MAX_DEMO_TOKENS = 64;
const SHARED_PREFIX_WORDS = 48;
const MIN_WEIGHT = 1;

const classWeights: Record<Importance, number> = { first: 3, standard: 4, background: 1 };

/** Accounts and request mix of a deployment. */
export interface DeclaredLoad {
  accounts: LoadAccount[];
  mix: MixItem[];
}

/**
 * Creates a load with all classes and accounts. Accounts with larger budgets send more requests.
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
  const weight = Math.max(MIN_WEIGHT, openingTokens);
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
      maxTokens: Math.min(MAX_DEMO_TOKENS, item.maxOutputTokens),
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
