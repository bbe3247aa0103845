import type { PathKind, ProbeOutcome } from '../../packages/gateway/src/runtime/serverPath.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ServerPath } from '../../packages/gateway/src/runtime/serverPath.js';

function probed(outcomes: ProbeOutcome[], now = 0): ServerPath {
  const path = new ServerPath(() => 0);
  path.recordDoubt(now);
  for (const outcome of outcomes) {
    path.recordProbeStart();
    path.recordProbe(outcome, now);
  }
  return path;
}

describe('the path to a server', () => {
  const cases: { name: string; outcomes: ProbeOutcome[]; kind: PathKind }[] = [
    { name: 'is direct at first', outcomes: [], kind: 'direct' },
    { name: 'stays direct if it answers', outcomes: [{ direct: true }], kind: 'direct' },
    {
      name: 'leads through a peer if only a peer reaches it',
      outcomes: [{ direct: false, tunnel: true }],
      kind: 'tunnel',
    },
    {
      name: 'is unknown if nobody reaches it',
      outcomes: [{ direct: false, tunnel: false }],
      kind: 'none',
    },
    { name: 'is unknown without peers', outcomes: [{ direct: false }], kind: 'none' },
    {
      name: 'is direct again as soon as it answers',
      outcomes: [{ direct: false, tunnel: true }, { direct: true }],
      kind: 'direct',
    },
  ];
  for (const { name, outcomes, kind } of cases) {
    test(name, () => {
      assert.equal(probed(outcomes).kind, kind);
    });
  }
});

// Guards against an instance that learns of the end of a partition only from its callers' requests.
test('a path that is not direct is probed again and again, at growing intervals', () => {
  const path = probed([{ direct: false, tunnel: true }]);
  const times: number[] = [];
  for (let now = 0; now <= 6_000; now += 100) {
    if (!path.isProbeDue(now)) continue;
    times.push(now);
    path.recordProbeStart();
    path.recordProbe({ direct: false, tunnel: true }, now);
  }
  assert.deepEqual(times, [400, 1_200, 2_800, 4_400, 6_000]);
});

// Guards against a second probe of a server beside the first one.
test('no probe is due while one runs', () => {
  const path = new ServerPath(() => 0);
  path.recordDoubt(0);
  assert.ok(path.isProbeDue(0));
  path.recordProbeStart();
  path.recordDoubt(10);
  assert.ok(!path.isProbeDue(1_000));
});

// Guards against a tunnel whose peer is gone and that is taken for working.
test('a tunnel that is in doubt is probed itself', () => {
  const path = probed([{ direct: false, tunnel: true }]);
  path.recordDoubt(100);
  assert.deepEqual([path.isProbeDue(100), path.recordProbeStart().isDoubted], [true, true]);
  path.recordProbe({ direct: false, tunnel: true }, 150);
  assert.ok(!path.recordProbeStart().isDoubted);
});

test('a connection that only a peer could open changes the path', () => {
  const path = new ServerPath(() => 0);
  assert.deepEqual([path.recordTunnelOnly(0), path.kind], [true, 'tunnel']);
  assert.equal(path.recordTunnelOnly(10), false);
});

// Guards against all instances that connect to a dead server through three peers each, again and again.
test('a server that nobody reaches is probed through several peers twice, then through one in turn', () => {
  const path = new ServerPath(() => 0);
  path.recordDoubt(0);
  const asked = Array.from({ length: 5 }, () => {
    const { peers } = path.recordProbeStart();
    path.recordProbe({ direct: false, tunnel: false }, 0);
    return peers;
  });
  assert.deepEqual(asked, [[0, 1, 2], [0, 1, 2], [0], [1], [0]]);
  path.recordProbeStart();
  path.recordProbe({ direct: true }, 0);
  path.recordDoubt(0);
  assert.deepEqual(path.recordProbeStart(), { isDoubted: true, peers: [0, 1, 2] });
});

// Guards against instances that lost a server together and probe it at the same moments from then on.
test('the intervals between probes differ between instances, and never exceed their maximum', () => {
  const firstProbes = [0, 0.4, 1].map((share) => {
    const path = new ServerPath(() => share);
    path.recordDoubt(0);
    path.recordProbeStart();
    path.recordProbe({ direct: false, tunnel: true }, 0);
    return Array.from({ length: 500 }, (_, now) => now).find((now) => path.isProbeDue(now));
  });
  assert.deepEqual(firstProbes, [400, 360, 300]);
});
