import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { BackendServer, PromptReading } from '@flamingocourse/core';
import type { Placement, PlacementRequest } from '@flamingocourse/router';
import {
  ANY_SERVER,
  AdmissionQueue,
  CheapestChooser,
  PrefixAffinityChooser,
  PromptPlacement,
  QuickEngineChooser,
  ServerPool,
  SwitchedChooser,
} from '@flamingocourse/core';
import { BackgroundWork, ManualClock, MemoryEventLog } from '@flamingocourse/kernel';
import { QuarantineRegister, ServiceLane } from '@flamingocourse/router';
import { placementFields } from '@flamingocourse/gateway';
import { createRandom } from './fixtures/seededRandom.js';

const IDS = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5'];
const TERMS = { copiesPrompts: true, tokenBytes: 1_000, linkBytesPerMs: 10_000_000 };

function server(id: string, bornAt = 0): BackendServer {
  const dataCentre = id === 'e5' ? 'dc-b' : 'dc-a';
  return { service: 'llm', id, dataCentre, url: `http://${id}`, state: 'live', bornAt };
}

/** A lane of six engines that weighs cached prompts while `isOn`, or that never does. */
class LaneFixture {
  readonly clock = new ManualClock();
  readonly pool = new ServerPool({ dataCentre: 'dc-a', concurrencyPerServer: 12 });
  readonly costs = new PromptPlacement(this.pool, () => TERMS);
  readonly lane: ServiceLane;
  isOn = true;

  constructor(knowsCosts = true) {
    this.pool.applyList(
      IDS.map((id) => server(id)),
      0,
    );
    const usual = new QuickEngineChooser(new PrefixAffinityChooser(1.5));
    const chooser = new CheapestChooser(this.costs, usual);
    const isOn = (): boolean => this.isOn;
    this.lane = new ServiceLane({
      pool: this.pool,
      queue: new AdmissionQueue({ maxSize: 64 }),
      chooser: knowsCosts ? new SwitchedChooser(isOn, chooser, usual) : usual,
      ...(knowsCosts ? { prompts: { costs: this.costs, chooser, isOn } } : {}),
      quarantine: new QuarantineRegister(this.clock, new MemoryEventLog(), {
        publish: () => undefined,
        onUpdate: () => undefined,
      }),
      clock: this.clock,
      background: new BackgroundWork(),
      random: createRandom(1),
      scope: 'everywhere',
    });
  }

  async place(part: string, change: Partial<PlacementRequest> = {}): Promise<Placement> {
    const placed = await this.lane.place({
      service: 'llm',
      workClass: 'chat',
      importance: 'standard',
      deadline: this.clock.now() + 6_000,
      prefixKey: part,
      promptTokens: 12_000,
      promptParts: [
        { id: part, tokens: 11_000 },
        { id: 'own', tokens: 1_000 },
      ],
      tried: [],
      fingerprint: 'f',
      signal: new AbortController().signal,
      ...change,
    });
    assert.ok(placed.isOk);
    return placed.value;
  }

  /** Runs a placed request to its first event. */
  run(placement: Placement, tookMs = 200): PromptReading | undefined {
    placement.recordSent();
    placement.recordPromptRead();
    this.clock.advance(tookMs);
    const reading = placement.recordFirstEvent();
    placement.end('ok', tookMs);
    return reading;
  }
}

// Guards against a changed choice where a deployment does not call for it.
test('while it is off, servers and sources of copies are those of a lane without it', async () => {
  const [off, without] = [new LaneFixture(), new LaneFixture(false)];
  off.isOn = false;
  for (let i = 0; i < 60; i += 1) {
    const part = `p${String(i % 7)}`;
    const [a, b] = [await off.place(part), await without.place(part)];
    assert.equal(a.server.id, b.server.id);
    assert.equal(a.promptSource?.id, b.promptSource?.id);
    assert.equal(a.plan, undefined);
    assert.equal(off.run(a), undefined);
    without.run(b);
  }
});

// Guards against log lines that can't tell why a server was chosen.
test('the log line has the terms of the chosen server, and of the owner if it is another one', async () => {
  const fixture = new LaneFixture();
  const placement = await fixture.place('p');
  assert.ok(placement.plan);
  const { cost, ownerCost, copyFrom } = placementFields(placement.plan);
  assert.match(
    String(cost),
    /^e\d kept \d+ read \d+ wait \d+ copy \d+ displaced \d+ charged \d+ total \d+$/,
  );
  assert.equal(ownerCost, undefined);
  assert.equal(copyFrom, undefined);
  const other = { ...placement.plan, cost: { ...placement.plan.cost, server: 'x' } };
  assert.equal(placementFields(other).ownerCost, cost);
  assert.deepEqual(placementFields(undefined), {});
});

// Guards against copies of what the engine has itself, and against copies out of the request's regions.
describe('the source of a copy', () => {
  const cases = [
    { name: 'is the server that had it read', readAt: 'e0', copiesFrom: 'e0' },
    {
      name: 'is no server outside the regions of the request',
      readAt: 'e5',
      copiesFrom: undefined,
    },
  ];
  for (const { name, readAt, copiesFrom } of cases) {
    test(name, async () => {
      const fixture = new LaneFixture();
      const parts = [{ id: 'p', tokens: 11_000 }];
      fixture.costs.belief.record(server(readAt), parts, 0);
      const bounds = { ...ANY_SERVER, homes: new Set(['dc-a']) };
      // all other servers than one are full, so the request can't go where its prompt is.
      const target = 'e1';
      for (const id of IDS.filter((each) => each !== target)) {
        for (let i = 0; i < 12; i += 1) fixture.pool.dispatch(id, 0);
      }
      const { promptSource, server: chosen } = await fixture.place('p', { bounds });
      assert.equal(chosen.id, target);
      if (copiesFrom === undefined) assert.notEqual(promptSource?.dataCentre, 'dc-b');
      else assert.equal(promptSource?.id, copiesFrom);
    });
  }
});

// Guards against trust in the cache of a process that has ended, and in what a run left behind.
describe('what a lane forgets', () => {
  const cases: { name: string; forget: (fixture: LaneFixture, run: Placement) => void }[] = [
    {
      name: 'a server that is listed with another start',
      forget: ({ pool }, { server: { id } }) => {
        pool.applyList(
          IDS.map((each) => server(each, each === id ? 5_000 : 0)),
          300,
        );
      },
    },
    {
      name: 'a server at which another process was found',
      forget: (_fixture, run) => {
        run.recordReplaced();
      },
    },
    {
      name: 'a server that crashed',
      forget: (_fixture, run) => {
        run.recordSent();
        run.end('crashed');
      },
    },
  ];
  for (const { name, forget } of cases) {
    test(name, async () => {
      const fixture = new LaneFixture();
      fixture.run(await fixture.place('p'));
      const again = await fixture.place('p');
      assert.ok((again.plan?.cost.keptTokens ?? 0) > 11_500);
      const parts = [{ id: 'p', tokens: 11_000 }];
      forget(fixture, again);
      const listed = fixture.pool.server(again.server.id);
      assert.ok(listed);
      assert.equal(fixture.costs.belief.keptTokens(listed, parts, false, 500) > 5_000, false);
    });
  }

  test('tokens of a request that ended without an event', async () => {
    const fixture = new LaneFixture();
    const placement = await fixture.place('p');
    assert.ok(fixture.costs.unread.at(placement.server.id, 0) > 0);
    placement.end('failed');
    assert.equal(fixture.costs.unread.at(placement.server.id, 0), 0);
  });
});
