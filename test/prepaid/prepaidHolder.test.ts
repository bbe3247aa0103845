import type { CallerAffinity, PrepaidPage, PrepaidReport } from '@flamingocourse/core';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  DEMAND_DECAY_SECONDS,
  PrepaidHolder,
  PrepaidSizing,
  applyReport,
  createPrepaidPage,
  defaultPrepaidSizing,
  dropWriter,
} from '@flamingocourse/core';

const MAX_REPORT_INTERVAL_MS = 120_000;

const known = { limitPart: 50_000, beyond: 0, elsewhere: 0, othersRate: 0, groups: 1 };
const outlook = new Map([['shop', known]]);

function createHolder(callerAffinity?: CallerAffinity): PrepaidHolder {
  const sizing = new PrepaidSizing();
  const options = {
    instance: 'a',
    process: 'process-1',
    sizing,
    maxReportIntervalMs: MAX_REPORT_INTERVAL_MS,
  };
  return new PrepaidHolder(callerAffinity ? { ...options, callerAffinity } : options);
}

function grantedPage(): PrepaidPage {
  const shop = { granted: 50_000, returned: 0, spent: 0, inDoubt: 0, shares: {} };
  return { ...createPrepaidPage(), accounts: { shop } };
}

/**
 * Returns a holder and its page after a first exchange that fetched tokens for a request of 1,000.
 */
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

// Guards against tokens that are spent or counted twice: an instance that was disconnected for long
// comes back after its group has charged the tokens that it held.
describe('a holder that its page no longer lists', () => {
  test('continues without tokens as a new incarnation', () => {
    const { holder, page } = start();
    const { incarnation } = holder;
    assert.equal(holder.isForgotten(page), false);
    assert.equal(holder.isForgotten(dropWriter(page, 'a')), true);
    holder.startNewIncarnation();
    assert.notEqual(holder.incarnation, incarnation);
    assert.equal(holder.free('shop'), 0);
    assert.equal(holder.unreported('shop'), 0);
  });

  test('gets no tokens back from requests that started before', () => {
    const { holder, page } = start();
    const running = holder.reserve('shop', 1_000);
    assert.ok(running, 'the request fits');
    const without = dropWriter(page, 'a');
    holder.startNewIncarnation();
    exchange(holder, without, 20);
    const free = holder.free('shop');
    holder.settle(running, 400);
    assert.equal(holder.free('shop'), free);
    assert.equal(holder.unreported('shop'), 0);
  });

  test('is not detected before the first report was applied', () => {
    const holder = createHolder();
    assert.equal(holder.isForgotten(grantedPage()), false);
  });
});

// Guards against a refused request whose tokens were fetched a millisecond before: two exchanges
// take place while it waits, and the second returns all tokens above the target.
describe('tokens that a request waits for', () => {
  const cases = [
    { name: 'are kept while it waits', waits: true },
    { name: 'are returned down to the target after it has left', waits: false },
  ];
  for (const { name, waits } of cases) {
    test(name, () => {
      const { holder, page } = start();
      // So much demand that almost none of the remaining tokens are allocated in advance.
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

  test('are fetched for all waiting requests', () => {
    const { holder, page } = start();
    for (const amount of [6_000, 7_000]) {
      holder.reserve('shop', amount);
      holder.beginWait('shop', amount);
    }
    exchange(holder, page, 20);
    assert.ok(holder.reserve('shop', 6_000));
    assert.ok(holder.reserve('shop', 7_000));
  });

  // Guards against a refused request although many tokens are left: the instance was four tokens
  // short, and the report did not request so few.
  test('are fetched even if only a few are missing', () => {
    const { holder, page } = start();
    const amount = Math.ceil(1.05 * holder.free('shop'));
    assert.equal(holder.reserve('shop', amount), undefined);
    holder.beginWait('shop', amount);
    exchange(holder, page, 20);
    assert.ok(holder.reserve('shop', amount));
  });
});

// Guards against an idle instance that counts as failed and whose tokens are charged.
test('a holder reports at least every maxReportIntervalMs without changes', () => {
  const { holder, page } = start();
  // The decay of its demand causes reports during the first minutes.
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
  assert.equal(last - before, MAX_REPORT_INTERVAL_MS);
});

// Guards against tokens of a drained machine that are charged as in doubt or stay unused.
test('a last report is built without changes, and returns all tokens', () => {
  const { holder, page } = start();
  const left = exchange(holder, page, 20, true);
  assert.equal(holder.free('shop'), 0);
  assert.deepEqual(left.writers, {});
  assert.deepEqual(left.accounts.shop?.shares, {});
  assert.equal(left.accounts.shop.inDoubt, 0);
});

// Guards against half of the lent tokens being at instances that a refused caller used only once:
// its one request was extrapolated to a steady demand.
describe("the demand after an account's only request, with 'pass-by'", () => {
  const cases = [
    { name: 'is one request per time constant after a long observation', observedMs: 20_000 },
    { name: 'is one request per observed time after two seconds', observedMs: 2_000 },
  ];
  for (const { name, observedMs } of cases) {
    test(name, () => {
      const holder = createHolder('pass-by');
      for (let at = 0; at <= observedMs; at += 500) holder.observe('steady', 1_000, at);
      holder.observe('shop', 1_000, observedMs);
      const expected = 1_000 / Math.min(observedMs / 1_000, DEMAND_DECAY_SECONDS);
      const rate = holder.rate('shop', observedMs);
      assert.ok(rate <= 1.2 * expected, `${String(rate)} tokens a second`);
    });
  }
});

// Guards against a refused second request during an outage: the account's first request here was
// averaged over a long time before it.
test("the demand with 'stay' is averaged from the account's first request", () => {
  const holder = createHolder('stay');
  for (let at = 0; at <= 20_000; at += 500) holder.observe('steady', 1_000, at);
  for (const at of [20_000, 21_000, 22_000]) holder.observe('shop', 1_000, at);
  const rate = holder.rate('shop', 22_000);
  assert.ok(rate >= 1_000, `${String(rate)} tokens a second`);
});

// Guards against instances that borrow tokens for borrowers of their own, of which they have none.
test('a holder that does not lend wants no tokens to lend', () => {
  const holder = createHolder('pass-by');
  const accounts = new Map([['shop', { remaining: 50_000, othersRate: 0 }]]);
  const view = { isRegistered: true, instances: 20, fetchers: 1, accounts };
  const report = holder.buildReport(view, 10);
  const evenPart = (defaultPrepaidSizing.evenFraction * 50_000) / 20;
  assert.ok((report?.entries.shop?.wants ?? 0) <= evenPart);
});
