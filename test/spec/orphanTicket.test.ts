import type { Money } from '@flamingocourse/router';
import { createClaimPage, takeOver } from '@flamingocourse/core';
import { createPlainServiceStandIn } from '@flamingocourse/lab';
import { HmacTicketCodec } from '@flamingocourse/router';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { call, startBench } from '../entry/fixtures/entryBench.js';

/** Look-ups after which the request path is held to go on for ever. */
const MANY = 20;

test('a retry of a ticket whose router was sealed before it ran gets an answer', async (context) => {
  // A ticket whose router died before it was sent is never run: its retry takes over a claim that nobody made.
  const server = await createPlainServiceStandIn({});
  const bench = await startBench({ ledger: [server.url] });
  context.after(() => Promise.all([bench.stop(), server.stop()]));
  let page = createClaimPage(0);
  let lookUps = 0;
  bench.money.resolveTicket = () => {
    lookUps += 1;
    return Promise.resolve(lookUps < MANY ? { type: 'not-run' } : { type: 'unknown' });
  };
  const money: Money = bench.money;
  money.takeOverClaim = (key, from, to) => {
    const taken = takeOver(page, key, from, to, 0);
    page = taken.page;
    return Promise.resolve(taken.answer);
  };
  const codec = new HmacTicketCodec('a secret of the tests');
  const orphan = codec.format({ issuer: 'dc-a/router-9/1', number: 1 }, 'shop');
  const options = { body: { item: 'tow', key: 'a' }, headers: { 'flamingocourse-ticket': orphan } };
  const res = await call(bench, '/services/ledger/reservations', options);
  await res.arrayBuffer();
  assert.ok(lookUps < MANY, `the ticket was looked up ${lookUps} times`);
  assert.equal(res.status, 201);
});
