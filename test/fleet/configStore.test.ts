import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { ConfigStore, Declaration, DeclaredObject } from '@flamingocourse/core';
import {
  createConfigStore,
  hasSameObjects,
  mergeUpdate,
  missingLastGood,
  resolveEffectiveConfig,
  updateSince,
} from '@flamingocourse/core';
import fc from 'fast-check';

function declared(declaration: Declaration, revision: number): DeclaredObject {
  return { kind: declaration.kind, name: declaration.name, revision, declaration };
}

function service(name: string, revision: number): DeclaredObject {
  return declared(
    {
      kind: 'Service',
      name,
      type: 'model',
      discovery: { instanceList: name },
      models: [],
      checksFencing: false,
      tokensPerCall: 0,
      concurrencyPerServer: 8,
    },
    revision,
  );
}

function workClass(name: string, revision: number, serviceName = 'llm', budgetShare = 0.5) {
  const target = { firstTokenMs: 500, completeMs: 5_000 };
  return declared(
    {
      kind: 'WorkClass',
      name,
      service: serviceName,
      target,
      budgetShare,
      importance: 'standard',
      idempotent: true,
      maxOutputTokens: 512,
    },
    revision,
  );
}

/** Merges objects as a watch delivers them: each covers all changes up to its own revision. */
function mergeObjects(store: ConfigStore, objects: DeclaredObject[]): ConfigStore {
  return objects.reduce(
    (next, object) =>
      mergeUpdate(next, { asOf: object.revision, objects: [object], complete: false }),
    store,
  );
}

function storeOf(...batches: DeclaredObject[][]): ConfigStore {
  return batches.reduce(mergeObjects, createConfigStore());
}

function shares(state: ReturnType<typeof storeOf>): Record<string, number> {
  const { workClasses } = resolveEffectiveConfig(state);
  return Object.fromEntries(workClasses.map((item) => [item.name, item.budgetShare]));
}

describe('old data', () => {
  // Guards against a class that gets its old target again, because a restarted relay read a stale
  // copy of the platform and passed it on as a change.
  test('a stale read after a restart changes nothing', () => {
    const state = storeOf([service('llm', 1), workClass('drafts', 5, 'llm', 0.8)]);
    const after = mergeObjects(state, [workClass('drafts', 4, 'llm', 0.1)]);
    assert.deepEqual(after, state);
    assert.deepEqual(shares(after), { drafts: 0.8 });
  });

  test('an older list does not restore a deleted object', () => {
    const deletion: DeclaredObject = { kind: 'WorkClass', name: 'drafts', revision: 6 };
    const state = storeOf([service('llm', 1), workClass('drafts', 5)], [deletion]);
    assert.deepEqual(shares(mergeObjects(state, [workClass('drafts', 5)])), {});
  });

  test('messages in any order, also repeated, result in the same objects', () => {
    const object = fc
      .tuple(fc.constantFrom('a', 'b', 'c'), fc.integer({ min: 1, max: 30 }))
      .map(([name, revision]) => service(name, revision));
    fc.assert(
      fc.property(fc.array(object), fc.array(object), (first, second) => {
        const forward = storeOf(first, second);
        const backward = storeOf(second, first, second);
        assert.ok(hasSameObjects(forward, backward));
        assert.equal(forward.asOf, backward.asOf);
      }),
      { seed: 11, numRuns: 200 },
    );
  });
});

describe('delta', () => {
  const all = [service('llm', 1), workClass('drafts', 2), workClass('stock', 3)];

  test('a peer with an older revision gets only newer objects', () => {
    const peer = storeOf(all.slice(0, 2));
    assert.deepEqual(updateSince(storeOf(all), peer.asOf).objects, [all[2]]);
  });

  // Guards against a router that keeps an old target forever, because it received revision 3 from a
  // peer that covered only revision 1, missed revision 2, and then asks only for revisions above 3.
  test('a peer that missed a revision in between gets it too', () => {
    const objects = [all[0], all[2]].flatMap((object) => object ?? []);
    const behind = mergeUpdate(createConfigStore(), { asOf: 1, objects, complete: false });
    const merged = mergeUpdate(behind, updateSince(storeOf(all), behind.asOf));
    assert.ok(hasSameObjects(merged, storeOf(all)));
  });
});

describe('invalid declarations', () => {
  // Guards against a class that refuses all requests because an operator mistyped its service.
  test('a class with an unknown service keeps its last good version', () => {
    const good = [service('llm', 1), workClass('drafts', 2, 'llm', 0.3), workClass('stock', 3)];
    const state = storeOf(good, [workClass('drafts', 4, 'lmm', 0.9)]);
    assert.deepEqual(shares(state), { drafts: 0.3, stock: 0.5 });
    const findings = resolveEffectiveConfig(state).findings.map((finding) => finding.object);
    assert.deepEqual(findings, ['WorkClass.drafts']);
  });

  test('a corrected class comes into force', () => {
    const state = storeOf([service('llm', 1), workClass('drafts', 2, 'lmm')]);
    assert.deepEqual(shares(state), {});
    assert.deepEqual(shares(mergeObjects(state, [service('lmm', 3)])), { drafts: 0.5 });
  });

  test('a new router gets the last good version from a peer', () => {
    const state = storeOf(
      [service('llm', 1), workClass('drafts', 2)],
      [workClass('drafts', 4, 'x')],
    );
    const copy = mergeUpdate(createConfigStore(), structuredClone(updateSince(state, 0)));
    assert.deepEqual(shares(copy), { drafts: 0.5 });
    assert.ok(hasSameObjects(copy, state));
    assert.equal(copy.asOf, state.asOf);
  });

  // Guards against a class that one router refuses and the others serve, because that router started
  // from the platform's list, which contains only the newest, invalid version.
  test('a router that has the newest version still gets the last good one', () => {
    const state = storeOf(
      [service('llm', 1), workClass('drafts', 2)],
      [workClass('drafts', 4, 'x')],
    );
    const objects = [...state.objects.values()];
    const listed = mergeUpdate(createConfigStore(), { asOf: 4, objects, complete: true });
    assert.deepEqual(missingLastGood(listed), ['WorkClass.drafts']);
    const completed = mergeUpdate(listed, updateSince(state, listed.asOf));
    assert.deepEqual(shares(completed), { drafts: 0.5 });
    assert.deepEqual(missingLastGood(completed), []);
  });

  test('a last good version from a peer never replaces a valid newest version', () => {
    const state = storeOf([service('llm', 1), workClass('drafts', 4, 'llm', 0.7)]);
    const lastGood = [workClass('drafts', 2, 'llm', 0.1), workClass('gone', 9)];
    const after = mergeUpdate(state, { asOf: 4, objects: [], complete: false, lastGood });
    assert.deepEqual(shares(after), { drafts: 0.7 });
  });

  test('a class whose service was deleted is not in force, other classes stay', () => {
    const state = storeOf(
      [service('llm', 1), service('app', 2), workClass('a', 3, 'llm'), workClass('b', 4, 'app')],
      [{ kind: 'Service', name: 'app', revision: 5 }],
    );
    assert.deepEqual(shares(state), { a: 0.5 });
  });

  const shareCases = [
    { given: [0.5, 0.5], expected: [0.5, 0.5], findings: 0 },
    { given: [0.3, 0.3], expected: [0.3, 0.3], findings: 0 },
    // 1 means "no cap for this class". It is not added up, because halving it would cap both classes.
    { given: [1, 1], expected: [1, 1], findings: 0 },
    { given: [1, 0.7], expected: [1, 0.7], findings: 0 },
    { given: [0.9, 0.6], expected: [0.6, 0.4], findings: 1 },
    { given: [0.9, 1, 0.6], expected: [0.6, 1, 0.4], findings: 1 },
    { given: [0.1, 0.2, 0.7], expected: [0.1, 0.2, 0.7], findings: 0 },
    { given: [0, 0.5], expected: [0, 0.5], findings: 0 },
  ];
  for (const { given, expected, findings } of shareCases) {
    test(`shares ${given.join(' and ')} are in force as ${expected.join(' and ')}`, () => {
      const classes = given.map((share, i) => workClass(`c${i}`, i + 2, 'llm', share));
      const state = storeOf([service('llm', 1), ...classes]);
      const scaled = Object.values(shares(state)).map((share) => Number(share.toFixed(6)));
      assert.deepEqual(scaled, expected);
      assert.equal(resolveEffectiveConfig(state).findings.length, findings);
    });
  }
});
