import type { PathKind, ProbeOutcome } from '../../packages/gateway/src/runtime/serverPath.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ServerPath } from '../../packages/gateway/src/runtime/serverPath.js';

function probed(outcomes: ProbeOutcome[], now = 0): ServerPath {
  const path = new ServerPath();
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
  const path = new ServerPath();
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
  assert.deepEqual([path.isProbeDue(100), path.recordProbeStart()], [true, true]);
  path.recordProbe({ direct: false, tunnel: true }, 150);
  assert.ok(!path.recordProbeStart());
});

test('a connection that only a peer could open changes the path', () => {
  const path = new ServerPath();
  assert.deepEqual([path.recordTunnelOnly(0), path.kind], [true, 'tunnel']);
  assert.equal(path.recordTunnelOnly(10), false);
});
