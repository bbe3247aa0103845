import {
  accountText,
  apply,
  classText,
  createOperator,
  plan,
  serviceText,
  verdicts,
} from './fixtures.js';
import { loadObjects, readHistory } from '@flamingocourse/cli';
import { MemoryObjectStore } from '@flamingocourse/store';
import { declaredBodySchema } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { test } from 'node:test';

// Two operators plan a change of class "drafts" against the same revision. If the second apply
// overwrote the first, that change would be lost without an error.
test('of two concurrent changes the second is refused with the author of the first', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const oyun = createOperator('oyun', objects);
  await apply(bat, await plan(bat, [serviceText, classText('drafts')]));
  const batPlan = await plan(bat, [classText('drafts', '"budgetShare": 0.5')]);
  const oyunPlan = await plan(oyun, [classText('drafts', '"budgetShare": 0.2')]);
  assert.deepEqual(verdicts(await apply(bat, batPlan)), { 'WorkClass.drafts': 'applied' });
  const [refused] = await apply(oyun, oyunPlan);
  assert.equal(refused?.verdict, 'conflict');
  assert.match(refused.message ?? '', /bat made a change \(update\) at .*plan again/);
  const history = (await readHistory(oyun)).unwrapOr([]);
  const outcomes = history.map((one) => [one.who, 'verdict' in one ? one.verdict : '']);
  assert.deepEqual(outcomes.at(-1), ['oyun', 'refused-conflict']);
  const loaded = (await loadObjects(bat.store)).unwrapOrElse((err) => assert.fail(err.message));
  const drafts = loaded.objects.find((one) => one.name === 'drafts')?.declaration;
  assert.equal(drafts?.kind === 'WorkClass' && drafts.budgetShare, 0.5);
});

// The platform performs an update and its reply is lost. If the object were not read back, the
// operator would see a failure, apply again and get a conflict with their own change.
for (const lost of [1, 2, 3]) {
  test(`an apply with a lost reply is reported as applied (${lost} lost)`, async () => {
    const objects = new MemoryObjectStore();
    const bat = createOperator('bat', objects);
    const planned = await plan(bat, [serviceText, classText('a'), classText('b')]);
    objects.faults.lostReplies = lost;
    const applied = await apply(bat, planned);
    const expected = {
      'Service.deel-llm': 'applied',
      'WorkClass.a': 'applied',
      'WorkClass.b': 'applied',
    };
    assert.deepEqual(verdicts(applied), expected);
    const history = (await readHistory(bat)).unwrapOr([]);
    assert.equal(history.length, 3);
  });
}

// An operator gets no answer when applying a saved plan and applies the same plan again.
test('applying the same saved plan twice changes nothing the second time', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const planned = await plan(bat, [serviceText, classText('a')]);
  const first = await apply(bat, planned);
  const current = (await loadObjects(bat.store)).unwrapOrElse((err) => assert.fail(err.message));
  const second = await apply(bat, { ...planned, current: current.objects });
  assert.deepEqual(second, first);
});

// The first operator's change takes effect without an answer, and a second operator replaces it.
// The second apply first writes the audit of the first change, which proves that it took effect.
test('a change that took effect and was replaced counts as applied', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const oyun = createOperator('oyun', objects);
  const planned = await plan(bat, [serviceText]);
  await apply(bat, planned);
  await apply(oyun, await plan(oyun, [serviceText.replace('"models": [', '"models": ["x", ')]));
  const [again] = await apply(bat, planned);
  assert.equal(again?.verdict, 'applied');
});

// A command fails after its change took effect and before the audit is created. The next change of
// the object would overwrite the only record of the first change.
test('a missing audit is created before the next change and by history', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const storeWithoutAudits = { ...bat.store, create: bat.store.create.bind(bat.store) };
  storeWithoutAudits.create = async (collection, name, value) =>
    collection === 'audits'
      ? bat.store.get('audits', 'none')
      : bat.store.create(collection, name, value);
  await apply(
    { ...bat, store: storeWithoutAudits },
    await plan(bat, [serviceText, classText('a')]),
  );
  assert.equal((await bat.store.list('audits')).unwrapOr([]).length, 0);
  const oyun = createOperator('oyun', objects);
  await apply(oyun, await plan(oyun, [classText('a', '"budgetShare": 0.5')]));
  const history = (await readHistory(oyun)).unwrapOr([]);
  assert.deepEqual(history.map(({ who, what, object }) => [who, what, object]).sort(), [
    ['bat', 'create', 'Service.deel-llm'],
    ['bat', 'create', 'WorkClass.a'],
    ['oyun', 'update', 'WorkClass.a'],
  ]);
});

// One class of a file would refuse all its requests. Only this class is not applied.
test('a guard rail blocks only its own object, until it is acknowledged', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const files = [serviceText, classText('a', '"budgetShare": 0'), classText('b')];
  const held = await apply(bat, await plan(bat, files));
  assert.deepEqual(verdicts(held), {
    'Service.deel-llm': 'applied',
    'WorkClass.a': 'guard-rail',
    'WorkClass.b': 'applied',
  });
  assert.match(held[1]?.message ?? '', /add --acknowledge refuses-whole-class/);
  const passed = await apply(bat, await plan(bat, files), ['refuses-whole-class']);
  assert.deepEqual(verdicts(passed), { 'WorkClass.a': 'applied' });
});

// A guard rail blocks the removal of a class. Its service must then remain too, or the class would
// refer to a missing service.
test('an object that a blocked object refers to is not removed', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  await apply(bat, await plan(bat, [serviceText, classText('a'), accountText('x', '1')]));
  const planned = await plan(bat, [accountText('x', '1')], true);
  const held = planned.plan.changes.map((change) =>
    change.kind === 'Service' ? { ...change, guards: [] } : change,
  );
  const applied = await apply(bat, { ...planned, plan: { ...planned.plan, changes: held } });
  assert.deepEqual(verdicts(applied), {
    'WorkClass.a': 'guard-rail',
    'Service.deel-llm': 'broken-reference',
  });
});

test('a removed object stays stored as removed and can be created again', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  await apply(bat, await plan(bat, [serviceText, classText('a')]));
  const removal = await apply(bat, await plan(bat, [serviceText], true), ['refuses-whole-class']);
  assert.deepEqual(verdicts(removal), { 'WorkClass.a': 'applied' });
  const loaded = (await loadObjects(bat.store)).unwrapOrElse((err) => assert.fail(err.message));
  const removed = loaded.objects.find((one) => one.name === 'a');
  assert.ok(removed && removed.declaration === undefined);
  const again = await apply(bat, await plan(bat, [classText('a')]));
  assert.ok((again[0]?.revision ?? 0) > removed.revision);
});

// Routers read the stored objects. If a router could not parse a removal, the removed class would
// stay in force there for good.
test('routers read stored objects and removals with the schema of the core', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  await apply(bat, await plan(bat, [serviceText, classText('a')]));
  await apply(bat, await plan(bat, [serviceText], true), ['refuses-whole-class']);
  const collection = { name: 'declarations', schema: declaredBodySchema } as const;
  const list = (await objects.list(collection)).unwrapOrElse((err) => assert.fail(err.message));
  assert.deepEqual(list.invalid, []);
  const removed = list.items.find(({ value }) => value.name === 'a')?.value;
  assert.deepEqual(removed, { kind: 'WorkClass', name: 'a' });
  const service = list.items.find(({ value }) => value.kind === 'Service')?.value;
  assert.equal(service?.declaration?.name, 'deel-llm');
  assert.ok(!('change' in (service.declaration ?? {})));
});

// One file cannot be parsed, so it may declare any object. Pruning would remove those objects.
test('nothing is pruned while a file cannot be read', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  await apply(bat, await plan(bat, [serviceText, classText('a')]));
  const planned = await plan(bat, ['{ "kind": '], true);
  assert.deepEqual(planned.plan.changes, []);
  assert.match(planned.pruneRefusal ?? '', /nothing is removed/);
});

// During an outage, a write may take effect, so the verdict must not claim that nothing changed.
test('during an outage the verdict says that the effect is not known', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const planned = await plan(bat, [serviceText]);
  objects.faults.outage = true;
  const [applied] = await apply(bat, planned);
  assert.equal(applied?.verdict, 'unreachable');
  assert.match(applied.message ?? '', /Whether the change took effect is not known/);
});
