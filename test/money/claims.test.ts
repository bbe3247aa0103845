import type { Claim, ClaimPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { claim, createClaimPage, giveUp, takeOver } from '@flamingocourse/core';

const KEY = 'key';

function claimOf(number: number, bodyDigest = 'body'): Claim {
  return { ticket: { issuer: 'dc-a/router-1/1', number }, bodyDigest, at: number };
}

const empty = createClaimPage(0);
const owned = claim(empty, KEY, claimOf(1)).page;
const givenUp = giveUp(owned, KEY, claimOf(1));

describe('what a page says after a ticket that ended without a bill gave its claim up', () => {
  // guards against a bill that waits for a ticket which never will be billed, and against two bills for a key.
  const cases: readonly {
    name: string;
    before: ClaimPage;
    ended: number;
    owner: number;
    isGivenUp: boolean;
    isWritten: boolean;
  }[] = [
    { name: 'its own', before: owned, ended: 1, owner: 1, isGivenUp: true, isWritten: true },
    {
      name: 'a claim that did not arrive yet',
      before: empty,
      ended: 1,
      owner: 1,
      isGivenUp: true,
      isWritten: true,
    },
    {
      name: 'the claim of another',
      before: owned,
      ended: 2,
      owner: 1,
      isGivenUp: false,
      isWritten: false,
    },
    {
      name: 'what it gave up before',
      before: givenUp,
      ended: 1,
      owner: 1,
      isGivenUp: true,
      isWritten: false,
    },
    {
      name: 'what another gave up, as its own claim may be on its way',
      before: givenUp,
      ended: 2,
      owner: 2,
      isGivenUp: true,
      isWritten: true,
    },
  ];
  for (const { name, before, ended, owner, isGivenUp, isWritten } of cases) {
    test(name, () => {
      const after = giveUp(before, KEY, claimOf(ended));
      assert.equal(after.claims[KEY]?.ticket.number, owner);
      assert.equal(after.claims[KEY].isGivenUp ?? false, isGivenUp);
      assert.equal(after !== before, isWritten);
    });
  }
});

describe('a key that was given up', () => {
  test('belongs to the next that claims it', () => {
    const { page, answer } = claim(givenUp, KEY, claimOf(2));
    assert.equal(answer.type, 'own');
    assert.deepEqual(page.claims[KEY], claimOf(2));
  });

  test('is still refused with another body', () => {
    assert.equal(claim(givenUp, KEY, claimOf(2, 'else')).answer.type, 'other-body');
  });

  test('is owned in full by a ticket that takes it over', () => {
    const { ticket } = claimOf(2);
    const { page } = takeOver(givenUp, KEY, claimOf(1).ticket, ticket, 5);
    assert.deepEqual(page.claims[KEY], { ticket, bodyDigest: 'body', at: 5 });
  });
});
