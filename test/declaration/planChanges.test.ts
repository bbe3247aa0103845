import type { DeclaredObject, Declaration, GuardName, PlanOptions } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { createStored, findBrokenReference, planChanges, readStored } from '@flamingocourse/core';
import { test } from 'node:test';

const now = 1_000;

const service: Declaration = {
  kind: 'Service',
  name: 'deel-llm',
  type: 'model',
  discovery: { instanceList: 'deel-llm' },
  models: ['deel'],
  checksFencing: false,
  tokensPerCall: 0,
  concurrencyPerServer: 8,
};

const ledger: Declaration = { ...service, name: 'shop-ledger', type: 'plain', models: [] };

function workClass(name: string, changes: object = {}): Declaration {
  const target = { firstTokenMs: 800, completeMs: 20_000 };
  const rest = { budgetShare: 1, importance: 'standard', idempotent: true, maxOutputTokens: 512 };
  const base = { kind: 'WorkClass', name, service: 'deel-llm', target, ...rest, ...changes };
  return base as Declaration;
}

function account(name: string, digit: string): Declaration {
  return { kind: 'ClientAccount', name, apiKeyDigests: [digit.repeat(64)], openingTokens: 0 };
}

function inForce(...declarations: Declaration[]): DeclaredObject[] {
  return declarations.map((declaration, index) => ({
    kind: declaration.kind,
    name: declaration.name,
    revision: index + 1,
    declaration,
  }));
}

test('a plan lists created, updated, unchanged and kept objects', () => {
  const current = inForce(service, workClass('a'), workClass('b'), workClass('c'));
  const wanted = [workClass('d'), workClass('a', { budgetShare: 0.5 }), workClass('b')];
  const plan = planChanges(current, wanted, now);
  const changes = plan.changes.map(({ type, name, fromRevision }) => [type, name, fromRevision]);
  assert.deepEqual(changes, [
    ['create', 'd', 0],
    ['update', 'a', 2],
  ]);
  assert.deepEqual(plan.unchanged, [{ kind: 'WorkClass', name: 'b' }]);
  assert.deepEqual(
    plan.kept.map(({ name }) => name),
    ['deel-llm', 'c'],
  );
});

// Guards against removing class "b" because of a typing error in its declaration: if --prune
// treated the faulty object as absent, all requests of the class would be refused.
test('pruning does not remove an object that is faulty in the files', () => {
  const current = inForce(service, workClass('a'), workClass('b'));
  const faulty = [{ kind: 'WorkClass' as const, name: 'b' }];
  const plan = planChanges(current, [service, workClass('a')], now, { prune: true, faulty });
  assert.deepEqual(plan.changes, []);
});

test('a service that a class still refers to is not removed', () => {
  const current = inForce(service, workClass('a'));
  const plan = planChanges(current, [workClass('a')], now, { prune: true });
  assert.deepEqual(plan.changes, []);
  assert.match(plan.blocked[0]?.message ?? '', /WorkClass\.a still refers to it/);
});

const guarded: [GuardName, Declaration[], Declaration[], PlanOptions?][] = [
  [
    'share-over-100',
    [service, workClass('a', { budgetShare: 0.7 })],
    [workClass('b', { budgetShare: 0.4 })],
  ],
  [
    'unreachable-target',
    [service],
    [workClass('a', { target: { firstTokenMs: 1, completeMs: 20_000 } })],
  ],
  ['unreachable-target', [service], [workClass('a', { maxOutputTokens: 100_000 })]],
  ['refuses-whole-class', [service, workClass('a')], [workClass('a', { budgetShare: 0 })]],
  ['refuses-whole-class', [service], [{ ...service, models: ['other'] }]],
  ['refuses-whole-class', [service, workClass('a')], [service], { prune: true }],
  [
    'mass-removal',
    ['a', 'b', 'c', 'd'].map((name) => account(name, name)),
    [account('a', 'a')],
    { prune: true },
  ],
  [
    'removes-account-with-budget',
    [account('a', 'a')],
    [],
    { prune: true, budgets: new Map([['a', 5]]) },
  ],
  ['removes-account-with-budget', [account('a', 'a')], [], { prune: true }],
  ['replaces-all-keys', [account('a', 'a')], [account('a', 'b')]],
  [
    'allows-repeats',
    [ledger, workClass('a', { service: 'shop-ledger', idempotent: false })],
    [workClass('a', { service: 'shop-ledger' })],
  ],
  ['allows-repeats', [ledger], [workClass('a', { service: 'shop-ledger' })]],
];

for (const [index, [guard, current, wanted, options]] of guarded.entries()) {
  test(`guard rail ${guard}, case ${index}`, () => {
    const plan = planChanges(inForce(...current), wanted, now, options);
    const found = plan.changes.flatMap(({ guards }) => guards.map((finding) => finding.guard));
    assert.ok(found.includes(guard), JSON.stringify(plan.changes));
  });
}

test('a valid change triggers no guard rail', () => {
  const wanted = [workClass('a', { budgetShare: 0.6 }), workClass('b', { budgetShare: 0.4 })];
  const plan = planChanges(inForce(service), wanted, now);
  assert.deepEqual(
    plan.changes.flatMap(({ guards }) => guards),
    [],
  );
});

test('an account without budget is removed without acknowledgement', () => {
  const options = { prune: true, budgets: new Map([['a', 0]]) };
  const plan = planChanges(inForce(account('a', 'a')), [], now, options);
  assert.deepEqual(plan.changes[0]?.guards, []);
});

test('findBrokenReference reports a reference to an object that is not in force', () => {
  const [change] = planChanges([], [workClass('a')], now).changes;
  assert.ok(change);
  assert.equal(findBrokenReference(change, []), 'Service.deel-llm is not in force');
  assert.equal(findBrokenReference(change, [service]), undefined);
});

test('a stored object is read back unchanged, and a removed one without declaration', () => {
  const change = {
    changeId: 'c',
    who: 'o',
    what: 'update' as const,
    fromRevision: 1,
    at: 2,
    guards: [],
  };
  const stored = createStored(service, service, change);
  const read = readStored(JSON.parse(JSON.stringify(stored)), 7).unwrapOr(undefined);
  assert.deepEqual(read, {
    kind: 'Service',
    name: 'deel-llm',
    revision: 7,
    change,
    declaration: service,
  });
  const removed = readStored(createStored(service, undefined, change), 8).unwrapOr(undefined);
  assert.deepEqual(removed, { kind: 'Service', name: 'deel-llm', revision: 8, change });
  assert.ok(readStored({ kind: 'Service', name: 'x', type: 'odd' }, 9).isErr);
});
