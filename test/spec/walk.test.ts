import assert from 'node:assert/strict';
import { test } from 'node:test';
import { catchMutant, hasFailed, mutantList, scopes, walk } from '@flamingocourse/lab';

/** Scopes in which a caller can get an answer; a walk that never shows one proves nothing. */
const answering = [
  'seal',
  'witnesses',
  'renamed witnesses',
  'non-idempotent key',
  'idempotent key',
];

for (const scope of scopes) {
  test(`every state of "${scope.name}" within ${scope.maxDepth} steps is sound`, () => {
    // an account would be overdrawn, an answer billed twice or never, a reservation made twice, or
    // a caller told "not run" of what ran: steps of routers, stores and seals come in every order.
    const result = walk(scope);
    assert.equal(result.violation, undefined, JSON.stringify(result.trace));
    assert.notEqual(result.end, 'states');
    assert.equal(result.answered > 0, answering.includes(scope.name));
  });
}

for (const mutant of mutantList) {
  test(`a protocol with "${mutant.name}" is caught`, () => {
    const { caught } = catchMutant(mutant);
    assert.ok(caught?.violation, `no walk notices: ${mutant.name}`);
  });
}

test('a mutant that survives and a violation of the unbroken protocol fail the report', () => {
  const sound = { scope: 's', states: 1, depth: 1, end: 'whole', answered: 0 } as const;
  const wrong = { ...sound, end: 'violation', violation: 'revision fell' } as const;
  const caught = { name: 'm', states: 1, caught: wrong };
  assert.equal(hasFailed({ unbroken: [sound], mutants: [caught] }), false);
  assert.equal(hasFailed({ unbroken: [sound], mutants: [{ name: 'm', states: 1 }] }), true);
  assert.equal(hasFailed({ unbroken: [wrong], mutants: [caught] }), true);
});
