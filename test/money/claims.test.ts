import type { Claim, ClaimPage } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { claim, createClaimPage, releaseClaim, takeOver } from '@flamingocourse/core';

const KEY = 'key';

function claimOf(number: number, bodyDigest = 'body'): Claim {
  return { ticket: { issuer: 'dc-a/router-1/1', number }, bodyDigest, at: number };
}

const empty = createClaimPage(0);
const owned = claim(empty, KEY, claimOf(1)).page;
const givenUp = releaseClaim(owned, KEY, claimOf(1));

describe('a claim page after a ticket that ended without a bill released its claim', () => {
  // Guards against a provisional bill that waits forever for a ticket that is never billed, and
  // against two bills for one key.
  const cases: readonly {
    name: string;
    before: ClaimPage;
    ended: number;
    owner: number;
    isGivenUp: boolean;
    isWritten: boolean;
  }[] = [
    {
      name: 'its own claim',
      before: owned,
      ended: 1,
      owner: 1,
      isGivenUp: true,
      isWritten: true,
    },
    {
      name: 'a claim that has not been written yet',
      before: empty,
      ended: 1,
      owner: 1,
      isGivenUp: true,
      isWritten: true,
    },
    {
      name: 'a claim of another ticket',
      before: owned,
      ended: 2,
      owner: 1,
      isGivenUp: false,
      isWritten: false,
    },
    {
      name: 'a claim that it has already released',
      before: givenUp,
      ended: 1,
      owner: 1,
      isGivenUp: true,
      isWritten: false,
    },
    {
      name: 'a claim that another ticket released, while its own claim may still be in flight',
      before: givenUp,
      ended: 2,
      owner: 2,
      isGivenUp: true,
      isWritten: true,
    },
  ];
  for (const { name, before, ended, owner, isGivenUp, isWritten } of cases) {
    test(name, () => {
      const after = releaseClaim(before, KEY, claimOf(ended));
      assert.equal(after.claims[KEY]?.ticket.number, owner);
      assert.equal(after.claims[KEY].isGivenUp ?? false, isGivenUp);
      assert.equal(after !== before, isWritten);
    });
  }
});

describe('a key whose claim was released', () => {
  test('belongs to the next ticket that claims it', () => {
    const { page, answer } = claim(givenUp, KEY, claimOf(2));
    assert.equal(answer.type, 'own');
    assert.deepEqual(page.claims[KEY], claimOf(2));
  });

  test('is still refused with another body', () => {
    assert.equal(claim(givenUp, KEY, claimOf(2, 'else')).answer.type, 'other-body');
  });

  test('belongs to a ticket that takes the claim over', () => {
    const { ticket } = claimOf(2);
    const { page } = takeOver(givenUp, KEY, claimOf(1).ticket, ticket, 5);
    assert.deepEqual(page.claims[KEY], { ticket, bodyDigest: 'body', at: 5 });
  });
});
