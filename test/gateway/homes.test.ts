import type { Homes } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { homesOf, mayCarry } from '../../packages/gateway/src/runtime/homes.js';

const regions = { 'dc-a': 'north', 'dc-b': 'south', 'dc-c': 'south', 'dc-d': 'west' };

// Guards against requests that run outside the homes of their route or their client account.
describe('the data centres in which a request may run', () => {
  const cases: { name: string; route?: Homes; account?: Homes; allowed: string[] | 'all' }[] = [
    { name: 'without homes', allowed: 'all' },
    { name: 'with homes of the route', route: ['south'], allowed: ['dc-b', 'dc-c'] },
    { name: 'with homes of the account', account: ['north'], allowed: ['dc-a'] },
    {
      name: 'with homes of both, where both bind',
      route: ['south', 'west'],
      account: ['north', 'west'],
      allowed: ['dc-d'],
    },
    {
      name: 'with homes that exclude each other',
      route: ['south'],
      account: ['north'],
      allowed: [],
    },
    { name: 'with a region of no data centre', route: ['moon'], allowed: [] },
    { name: 'with homes that cannot be read', route: 'invalid', allowed: [] },
    {
      name: 'with homes of which one cannot be read',
      route: ['north'],
      account: 'invalid',
      allowed: [],
    },
  ];
  for (const { name, route, account, allowed } of cases) {
    test(name, () => {
      const homes = homesOf(
        route === undefined ? {} : { homes: route },
        account === undefined ? undefined : { homes: account },
        regions,
      );
      assert.deepEqual(homes === undefined ? 'all' : [...homes], allowed);
    });
  }

  test('where no region is known, none is a home', () => {
    assert.deepEqual([...(homesOf({ homes: ['north'] }, undefined, {}) ?? ['all'])], []);
  });
});

// Guards against bodies that are sent to an instance in a region that is no home of theirs.
describe('a peer carries requests to a server', () => {
  const cases: { name: string; peer: string; server: string; known?: object; carries: boolean }[] =
    [
      { name: 'of its own data centre', peer: 'dc-b', server: 'dc-b', carries: true },
      { name: 'of its region', peer: 'dc-b', server: 'dc-c', carries: true },
      { name: 'not of another region', peer: 'dc-a', server: 'dc-c', carries: false },
      { name: 'not from an unknown region', peer: 'dc-x', server: 'dc-c', carries: false },
      {
        name: 'of an unknown region, which no request with homes reaches',
        peer: 'dc-a',
        server: 'dc-x',
        carries: true,
      },
      { name: 'where no region is known', peer: 'dc-a', server: 'dc-b', known: {}, carries: true },
    ];
  for (const { name, peer, server, known, carries } of cases) {
    test(name, () => {
      assert.equal(mayCarry(peer, server, known ? {} : regions), carries);
    });
  }
});
