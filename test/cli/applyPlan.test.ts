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

// Bat and Oyun both plan a change of class "drafts" upon the same revision. Bat applies first. If
// Oyun's apply overwrote his, his change would be lost without anybody being told.
test('of two racing operators the second is refused and told who was first', async () => {
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

// The platform carries out an update and its reply is lost. Without reading back the operator
// would see a failure, apply again and be refused by his own change.
for (const lost of [1, 2, 3]) {
  test(`an apply whose reply is lost is found to be in force (${lost} lost)`, async () => {
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

// A saved plan is applied, its operator sees no answer and applies the same file again.
test('applying the same saved plan twice changes nothing the second time', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const planned = await plan(bat, [serviceText, classText('a')]);
  const first = await apply(bat, planned);
  const current = (await loadObjects(bat.store)).unwrapOrElse((err) => assert.fail(err.message));
  const second = await apply(bat, { ...planned, current: current.objects });
  assert.deepEqual(second, first);
});

// While Bat's first try is in flight without an answer, Oyun overtakes it: his change took effect
// and was replaced. The audit, which Oyun had to keep first, proves it.
test('a change that took effect and was replaced since counts as applied', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const oyun = createOperator('oyun', objects);
  const planned = await plan(bat, [serviceText]);
  await apply(bat, planned);
  await apply(oyun, await plan(oyun, [serviceText.replace('"models": [', '"models": ["x", ')]));
  const [again] = await apply(bat, planned);
  assert.equal(again?.verdict, 'applied');
});

// A command dies after its change took effect and before the audit is created. The next operator
// changes the object, which would wipe out the only record of the first change.
test('a missing audit is created before the next change and by history', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const mute = { ...bat.store, create: bat.store.create.bind(bat.store) };
  mute.create = async (collection, name, value) =>
    collection === 'audits'
      ? bat.store.get('audits', 'none')
      : bat.store.create(collection, name, value);
  await apply({ ...bat, store: mute }, await plan(bat, [serviceText, classText('a')]));
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

// One class of a file would refuse all its requests. It is held back; the others come into force.
test('a guard rail holds back its own object only, until it is acknowledged', async () => {
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

// The removal of a class is held back by a guard rail. Its service must then stay too, else the
// class would refer to nothing.
test('what a held-back object refers to is not removed', async () => {
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

test('a removed object stays known as removed and can be created again', async () => {
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

// A router reads what the command stored. If it could not read a removal, the removed class would
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

// One file cannot be parsed, so any object could stand in it. Pruning would remove what it holds.
test('nothing is pruned while a file cannot be read', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  await apply(bat, await plan(bat, [serviceText, classText('a')]));
  const planned = await plan(bat, ['{ "kind": '], true);
  assert.deepEqual(planned.plan.changes, []);
  assert.match(planned.pruneRefusal ?? '', /nothing is removed/);
});

// The platform is out: the operator must not be told that nothing happened if that is not known.
test('during an outage the verdict is that the effect is not known', async () => {
  const objects = new MemoryObjectStore();
  const bat = createOperator('bat', objects);
  const planned = await plan(bat, [serviceText]);
  objects.faults.outage = true;
  const [applied] = await apply(bat, planned);
  assert.equal(applied?.verdict, 'unreachable');
  assert.match(applied.message ?? '', /Whether the change took effect is not known/);
});
