import assert from 'node:assert/strict';
import { test } from 'node:test';
import { catchMutant, hasFailed, mutantList, scopes, walk } from '@flamingocourse/lab';

/** Scopes in which a caller can get an answer; their walks must reach a state with one. */
const answeringScopes = [
  'seal',
  'witnesses',
  'renamed witnesses',
  'non-idempotent key',
  'idempotent key',
];

for (const scope of scopes) {
  test(`every state of "${scope.name}" within ${scope.maxDepth} steps satisfies the invariants`, () => {
    // Guards against overspending, answers billed twice or never, and requests that run twice or ran although reported as `not-run`.
    const result = walk(scope);
    assert.equal(result.violation, undefined, JSON.stringify(result.trace));
    assert.notEqual(result.end, 'states');
    assert.equal(result.answered > 0, answeringScopes.includes(scope.name));
  });
}

for (const mutant of mutantList) {
  test(`the mutant "${mutant.name}" is detected`, () => {
    const { caught } = catchMutant(mutant);
    assert.ok(caught?.violation, `no walk detects: ${mutant.name}`);
  });
}

test('a surviving mutant and a violation by the unmutated protocol fail the report', () => {
  const passed = { scope: 's', states: 1, depth: 1, end: 'whole', answered: 0 } as const;
  const failed = { ...passed, end: 'violation', violation: 'revision fell' } as const;
  const caught = { name: 'm', states: 1, caught: failed };
  assert.equal(hasFailed({ unbroken: [passed], mutants: [caught] }), false);
  assert.equal(hasFailed({ unbroken: [passed], mutants: [{ name: 'm', states: 1 }] }), true);
  assert.equal(hasFailed({ unbroken: [failed], mutants: [caught] }), true);
});
