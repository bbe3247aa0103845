import type { Newcomers, PrepaidPage, PrepaidReport } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  DEMAND_TIME_CONSTANT_SECONDS,
  PrepaidHolder,
  PrepaidSizing,
  applyReport,
  createPrepaidPage,
  dropWriter,
} from '@flamingocourse/core';

const ALIVE_MS = 120_000;

const outlook = new Map([['shop', { limitPart: 50_000, beyond: 0, groups: 1 }]]);

function createHolder(newcomers?: Newcomers): PrepaidHolder {
  const sizing = new PrepaidSizing();
  const options = { instance: 'a', process: 'process-1', sizing, aliveMs: ALIVE_MS };
  return new PrepaidHolder(newcomers ? { ...options, newcomers } : options);
}

function grantedPage(): PrepaidPage {
  const shop = { granted: 50_000, returned: 0, spent: 0, inDoubt: 0, shares: {} };
  return { ...createPrepaidPage(), accounts: { shop } };
}

/** A holder and its page after a first exchange in which it got tokens for a request of 1,000. */
function start(): { holder: PrepaidHolder; page: PrepaidPage } {
  const holder = createHolder();
  holder.observe('shop', 1_000, 0);
  holder.reserve('shop', 1_000);
  const page = exchange(holder, grantedPage(), 10);
  assert.ok(holder.free('shop') >= 1_000, 'holds tokens');
  return { holder, page };
}

function exchange(
  holder: PrepaidHolder,
  page: PrepaidPage,
  now: number,
  last = false,
): PrepaidPage {
  const next = applyReport(page, beginReport(holder, page, now, last));
  holder.confirm(next);
  return next;
}

function beginReport(
  holder: PrepaidHolder,
  page: PrepaidPage,
  now: number,
  last = false,
): PrepaidReport {
  const report = holder.beginReport(page, outlook, now, last);
  assert.ok(report, 'has something to report');
  return report;
}

// an instance that was cut off for long comes back: the group has charged what it held, and it would
// spend it all the same, or count it twice.
describe('a holder whose page has forgotten it', () => {
  test('starts anew without tokens, under another name', () => {
    const { holder, page } = start();
    const { incarnation } = holder;
    assert.equal(holder.isForgotten(page), false);
    assert.equal(holder.isForgotten(dropWriter(page, 'a')), true);
    holder.renew();
    assert.notEqual(holder.incarnation, incarnation);
    assert.equal(holder.free('shop'), 0);
    assert.equal(holder.unreported('shop'), 0);
  });

  test('gets nothing from requests that were begun before', () => {
    const { holder, page } = start();
    const running = holder.reserve('shop', 1_000);
    assert.ok(running, 'the request fits');
    const without = dropWriter(page, 'a');
    holder.renew();
    exchange(holder, without, 20);
    const free = holder.free('shop');
    holder.settle(running, 400);
    assert.equal(holder.free('shop'), free);
    assert.equal(holder.unreported('shop'), 0);
  });

  test('is not meant before the first report was taken in', () => {
    const holder = createHolder();
    assert.equal(holder.isForgotten(grantedPage()), false);
  });
});

// a forester is refused for want of tokens that were fetched for her a millisecond ago: two exchanges follow
// each other while her request waits, and the second gives back what lies beyond the level.
describe('tokens that a request waits for', () => {
  const cases = [
    { name: 'are kept while it waits', waits: true },
    { name: 'go back to the level once it has left', waits: false },
  ];
  for (const { name, waits } of cases) {
    test(name, () => {
      const { holder, page } = start();
      // so many that hardly any of the rest is dealt out beforehand.
      for (let n = 0; n < 30; n += 1) holder.observe('shop', 1_000, 15);
      holder.reserve('shop', 8_000);
      holder.beginWait('shop', 8_000);
      const fetched = exchange(holder, page, 20);
      assert.ok(holder.free('shop') >= 8_000, 'the tokens came');
      if (!waits) holder.endWait('shop', 8_000);
      const report = holder.beginReport(fetched, outlook, 30);
      if (report) holder.confirm(applyReport(fetched, report));
      assert.equal(holder.free('shop') >= 8_000, waits);
    });
  }

  test('are fetched for all that wait', () => {
    const { holder, page } = start();
    for (const amount of [6_000, 7_000]) {
      holder.reserve('shop', amount);
      holder.beginWait('shop', amount);
    }
    exchange(holder, page, 20);
    assert.ok(holder.reserve('shop', 6_000));
    assert.ok(holder.reserve('shop', 7_000));
  });

  // a volunteer is refused although plenty is left: the instance lacked four tokens, and a report did not ask
  // for so few.
  test('are fetched also when only a few are lacking', () => {
    const { holder, page } = start();
    const amount = Math.ceil(1.05 * holder.free('shop'));
    assert.equal(holder.reserve('shop', amount), undefined);
    holder.beginWait('shop', amount);
    exchange(holder, page, 20);
    assert.ok(holder.reserve('shop', amount));
  });
});

// an idle instance would be taken for lost, and its tokens charged.
test('a holder without news reports now and then all the same', () => {
  const { holder, page } = start();
  // its demand fades within minutes, which is news.
  const reportedAt: number[] = [];
  let seen = page;
  for (let now = 1_000; now <= 1_200_000; now += 1_000) {
    const report = holder.beginReport(seen, outlook, now);
    if (!report) continue;
    seen = applyReport(seen, report);
    holder.confirm(seen);
    reportedAt.push(now);
  }
  const [before = 0, last = 0] = reportedAt.slice(-2);
  assert.equal(last - before, ALIVE_MS);
});

// a machine is emptied: what it held would be charged in doubt, or lie idle.
test('a last report is due without news, and gives all back', () => {
  const { holder, page } = start();
  const left = exchange(holder, page, 20, true);
  assert.equal(holder.free('shop'), 0);
  assert.deepEqual(left.writers, {});
  assert.deepEqual(left.accounts.shop?.shares, {});
  assert.equal(left.accounts.shop.inDoubt, 0);
});

// Half of what a fleet lends lies where a refused caller came by once: its one request was taken for a steady stream.
describe('the demand of an account that came by once', () => {
  const cases = [
    { name: 'is that of one request in the time that was observed', observedMs: 20_000 },
    { name: 'is not known better after two seconds', observedMs: 2_000 },
  ];
  for (const { name, observedMs } of cases) {
    test(name, () => {
      const holder = createHolder('pass-by');
      for (let at = 0; at <= observedMs; at += 500) holder.observe('steady', 1_000, at);
      holder.observe('shop', 1_000, observedMs);
      const expected = 1_000 / Math.min(observedMs / 1_000, DEMAND_TIME_CONSTANT_SECONDS);
      const rate = holder.rate('shop', observedMs);
      assert.ok(rate <= 1.2 * expected, `${String(rate)} tokens a second`);
    });
  }
});

// A volunteer's second request is refused in a cut: her shop's first one here was taken for the only one in a long time.
test('the demand of an account whose callers stay is reckoned from its first request', () => {
  const holder = createHolder('stay');
  for (let at = 0; at <= 20_000; at += 500) holder.observe('steady', 1_000, at);
  for (const at of [20_000, 21_000, 22_000]) holder.observe('shop', 1_000, at);
  const rate = holder.rate('shop', 22_000);
  assert.ok(rate >= 1_000, `${String(rate)} tokens a second`);
});
