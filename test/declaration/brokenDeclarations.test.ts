import assert from 'node:assert/strict';
import { checkDeclarations, formatFault } from '@flamingocourse/core';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

function checkFixture(name: string): ReturnType<typeof checkDeclarations> {
  const text = readFileSync(new URL(`fixtures/${name}.jsonc`, import.meta.url), 'utf8');
  return checkDeclarations([{ file: `${name}.jsonc`, text }]);
}

// Each fixture contains one mistake. The fault reports its position and how to correct it.
const brokenFiles = [
  ['syntax', '5:3', /not valid JSON: comma expected\. Put a comma after the value before/],
  ['repeated-key', '6:3', /"policy" is repeated here\. Remove this one or .* line 4/],
  ['misspelt-key', '8:5', /"budgetshare" is not known here\. Did you mean "budgetShare"\?/],
  ['weight', '7:3', /"weights" is not known here\. Remove it\. The system derives weights/],
  ['share-percent', '9:20', /40 is too large, the maximum is 1\. Write a number from 0 to 1/],
  ['target-order', '7:54', /cannot come before its first token .* Raise completeMs to at least/],
  ['unknown-service', '6:16', /no service "deel-lm"\. Did you mean "deel-llm"\?/],
  ['plain-key', '4:21', /0: the value does not have the required format\. Write the SHA-256/],
  ['shared-key', '2:70', /belongs to the account "delger-shop" too\. Create a separate key/],
  ['duplicate', '2:32', /Service\.shop-ledger is declared twice.* Remove one of the two/],
  ['kind', '2:13', /"Workclass" is not a known kind/],
  ['missing-target', '7:15', /target\.completeMs: this key is missing\. Write whole milliseconds/],
] as const;

for (const [name, place, text] of brokenFiles) {
  test(`broken-${name} is rejected with its position and a hint`, () => {
    const { faults } = checkFixture(`broken-${name}`);
    const [first] = faults.map(formatFault);
    assert.ok(first?.startsWith(`broken-${name}.jsonc:${place}:`), first);
    assert.match(first ?? '', text);
  });
}

// One class contains the text "fast" where a number is expected. The two valid objects of the file
// are accepted, and the faulty class is reported, so that its version in force can stay.
test('one faulty object does not reject the others of its file', () => {
  const { accepted, faults, faulty, unnamedFaults } = checkFixture('one-bad-of-three');
  assert.deepEqual(
    accepted.map(({ name }) => name),
    ['deel-llm', 'stock-questions'],
  );
  assert.equal(faults.length, 1);
  assert.deepEqual(faulty, [{ kind: 'WorkClass', name: 'listing-drafts' }]);
  assert.equal(unnamedFaults, false);
});

test('an object that refers to a faulty one is rejected too', () => {
  const text = `[
    { "kind": "WorkClass", "name": "drafts", "service": "gone", "target": { "firstTokenMs": 9, "completeMs": 9 } },
    { "kind": "ClientAccount", "name": "a", "apiKeyDigests": ["${'0'.repeat(64)}"], "defaultClass": "drafts" },
  ]`;
  const { accepted, faulty } = checkDeclarations([{ file: 'a.jsonc', text }]);
  assert.deepEqual(accepted, []);
  assert.deepEqual(
    faulty.map(({ name }) => name),
    ['drafts', 'a'],
  );
});

test('classes of a plain service are not idempotent by default', () => {
  const text = `[
    { "kind": "Service", "name": "ledger", "type": "plain", "discovery": { "instanceList": "ledger" } },
    { "kind": "WorkClass", "name": "reservations", "service": "ledger", "target": { "firstTokenMs": 300, "completeMs": 900 } },
  ]`;
  const { accepted } = checkDeclarations([{ file: 'a.jsonc', text }]);
  const [, reservations] = accepted;
  assert.ok(reservations?.kind === 'WorkClass');
  assert.equal(reservations.idempotent, false);
  assert.equal(reservations.budgetShare, 1);
  assert.equal(reservations.maxOutputTokens, 512);
});
