import type { Money } from '@flamingocourse/router';
import { createClaimPage, takeOver } from '@flamingocourse/core';
import { createPlainServiceStandIn } from '@flamingocourse/lab';
import { HmacTicketCodec } from '@flamingocourse/router';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { call, startBench } from '../entry/fixtures/entryBench.js';

/** Number of lookups after which the test treats the request path as an endless loop. */
const MAX_LOOKUPS = 20;

test('a retry of a ticket whose router was sealed before it ran gets an answer', async (context) => {
  // Guards against an endless loop: the router crashed before it dispatched the request, so the retry
  // tries to take over a claim that does not exist.
  const server = await createPlainServiceStandIn({});
  const bench = await startBench({ ledger: [server.url] });
  context.after(() => Promise.all([bench.stop(), server.stop()]));
  let page = createClaimPage(0);
  let lookups = 0;
  bench.money.resolveTicket = () => {
    lookups += 1;
    return Promise.resolve(lookups < MAX_LOOKUPS ? { type: 'not-run' } : { type: 'unknown' });
  };
  const money: Money = bench.money;
  money.takeOverClaim = (key, from, to) => {
    const taken = takeOver(page, key, from, to, 0);
    page = taken.page;
    return Promise.resolve(taken.answer);
  };
  const codec = new HmacTicketCodec('a secret of the tests');
  const orphanTicket = codec.format({ issuer: 'dc-a/router-9/1', number: 1 }, 'shop');
  const options = {
    body: { item: 'tow', key: 'a' },
    headers: { 'flamingocourse-ticket': orphanTicket },
  };
  const res = await call(bench, '/services/ledger/reservations', options);
  await res.arrayBuffer();
  assert.ok(lookups < MAX_LOOKUPS, `the ticket was looked up ${lookups} times`);
  assert.equal(res.status, 201);
});
