import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { MemberInfo, MembershipState } from '@flamingocourse/core';
import {
  composeHeartbeat,
  createMembership,
  heartbeatTargets,
  judgeMember,
  judgeMembers,
  observeHeartbeat,
  observeInstanceList,
  observeMember,
  recentlyExchanged,
  resolveLocalOwner,
  tickMembership,
  updateSelf,
} from '@flamingocourse/core';

const settings = { suspectMs: 2_000, goneMs: 4_000 };

function member(instance: string, beat = 1, fields: Partial<MemberInfo> = {}): MemberInfo {
  const dataCentre = fields.dataCentre ?? 'dc-a';
  return {
    incarnation: `${dataCentre}/${instance}/018f3c2a9b7e`,
    dataCentre,
    instance,
    meshUrl: `http://10.0.0.1/${dataCentre}/${instance}`,
    entryUrl: `http://10.0.0.2/${dataCentre}/${instance}`,
    state: 'serving',
    beat,
    revision: 0,
    ...fields,
  };
}

function membershipOf(peers: MemberInfo[], now = 0): MembershipState {
  const empty = createMembership(member('self'), settings);
  return peers.reduce((state, peer) => observeMember(state, peer, now), empty);
}

describe('missing heartbeats', () => {
  const cases = [
    { at: 1_999, local: 'alive', remote: 'alive' },
    { at: 2_000, local: 'suspect', remote: 'alive' },
    { at: 4_000, local: 'gone', remote: 'alive' },
    { at: 10_000, local: 'gone', remote: 'suspect' },
    { at: 20_000, local: 'gone', remote: 'gone' },
  ];
  for (const { at, local, remote } of cases) {
    test(`after ${at} ms a local peer is ${local}, a remote one ${remote}`, () => {
      const [near, far] = [member('r1'), member('r2', 1, { dataCentre: 'dc-b' })];
      const state = membershipOf([near, far]);
      assert.equal(judgeMember(state, near.incarnation, at), local);
      assert.equal(judgeMember(state, far.incarnation, at), remote);
    });
  }

  // Guards against requests that wait for a dead router. Its last heartbeat was delayed in the
  // network, or a peer passed an old beat on, and it arrived after the router counted as gone.
  test('a peer becomes alive again by a newer beat, not by an old one', () => {
    const state = membershipOf([member('r1', 7)]);
    const stale = observeMember(state, member('r1', 7), 5_000);
    assert.equal(judgeMember(stale, member('r1').incarnation, 5_000), 'gone');
    const fresh = observeMember(state, member('r1', 8), 5_000);
    assert.equal(judgeMember(fresh, member('r1').incarnation, 5_000), 'alive');
  });

  // Guards against a router that was paused for some seconds, then considers all its peers gone and
  // starts to seal them.
  test('a paused router does not consider its peers gone', () => {
    let state = tickMembership(membershipOf([member('r1')]), 0);
    state = tickMembership(state, 30_000);
    assert.equal(judgeMember(state, member('r1').incarnation, 30_000), 'alive');
    for (let now = 30_500; now <= 34_000; now += 500) state = tickMembership(state, now);
    assert.equal(judgeMember(state, member('r1').incarnation, 34_000), 'gone');
  });

  // Guards against a router that seals its whole data centre after its machine was suspended, because
  // another service's timer read the peers' health before the next membership tick.
  test('a paused router does not consider its peers gone before its first tick', () => {
    const state = tickMembership(membershipOf([member('r1')]), 0);
    assert.equal(judgeMember(state, member('r1').incarnation, 30_000), 'alive');
    assert.equal(resolveLocalOwner(state, 'a', 30_000), resolveLocalOwner(state, 'a', 0));
  });
});

describe('restart', () => {
  const old = member('r1', 50, { incarnation: 'dc-a/r1/old' });
  const renewed = (beat: number) => member('r1', beat, { incarnation: 'dc-a/r1/new' });

  test('a new incarnation ends the old one after two heartbeats', () => {
    let state = observeMember(membershipOf([old]), renewed(1), 1_000);
    assert.equal(judgeMember(state, old.incarnation, 1_000), 'alive');
    state = observeMember(state, renewed(2), 1_500);
    assert.equal(judgeMember(state, old.incarnation, 1_500), 'gone');
    assert.equal(judgeMember(state, renewed(2).incarnation, 1_500), 'alive');
  });

  // Guards against peers that send nothing to a restarted router, because a late heartbeat of its old
  // incarnation arrived after the first of the new one and counted as newer.
  test('a late first heartbeat of the old incarnation does not end the new one', () => {
    let state = observeMember(membershipOf([renewed(1)]), renewed(2), 500);
    state = observeMember(state, old, 600);
    state = observeMember(state, renewed(3), 1_000);
    assert.equal(judgeMember(state, renewed(3).incarnation, 1_000), 'alive');
    assert.equal(judgeMember(state, old.incarnation, 1_000), 'alive');
    for (let beat = 4; beat < 14; beat += 1) {
      state = observeMember(state, renewed(beat), 1_000 + beat * 400);
    }
    assert.equal(judgeMember(state, old.incarnation, 6_200), 'gone');
  });

  test('an earlier incarnation of this router itself is gone', () => {
    const state = membershipOf([member('self', 9, { incarnation: 'dc-a/self/old' })]);
    assert.equal(judgeMember(state, 'dc-a/self/old', 1), 'gone');
  });
});

describe('instance list', () => {
  test('a peer that answers stays although it is not in the list', () => {
    const state = observeInstanceList(membershipOf([member('r1')]), []);
    assert.equal(judgeMember(state, member('r1').incarnation, 100), 'alive');
  });

  test('listed addresses that do not answer are tried, a few at each beat', () => {
    const records = [1, 2, 3, 4, 5].map((n) => ({
      service: 'flamingocourse-router',
      id: `r${n}`,
      dataCentre: 'dc-a',
      url: `http://new/${n}`,
      state: 'live' as const,
    }));
    let state = observeInstanceList(membershipOf([]), records);
    const tried = new Set<string>();
    for (let now = 0; now < 2_000; now += 500) {
      state = tickMembership(state, now);
      const targets = heartbeatTargets(state, now);
      assert.ok(targets.length <= 2);
      for (const url of targets) tried.add(url);
    }
    assert.equal(tried.size, 5);
  });

  // Guards against two sides of a healed partition that never find each other, because each has
  // stopped sending to the other.
  test('a peer that is gone is still tried', () => {
    const state = membershipOf([member('r1')]);
    assert.deepEqual(heartbeatTargets(state, 60_000), [member('r1').meshUrl]);
  });
});

describe('gossip', () => {
  const far = (beat: number) => member('far', beat, { dataCentre: 'dc-b' });

  test('the age of a digest entry dates the last beat', () => {
    const message = {
      info: member('r1'),
      digest: [{ incarnation: far(1).incarnation, beat: 5, ageMs: 3_000 }],
      members: [],
    };
    const state = observeHeartbeat(membershipOf([far(4)], 0), message, 10_000);
    assert.equal(state.members[far(1).incarnation]?.lastHeardAt, 7_000);
    assert.equal(state.members[far(1).incarnation]?.info.beat, 5);
  });

  test('a member without a digest entry is ignored', () => {
    const message = { info: member('r1'), digest: [], members: [far(4)] };
    const state = observeHeartbeat(membershipOf([]), message, 0);
    assert.equal(state.members[far(1).incarnation], undefined);
  });

  // Guards against routers that share only one seed and never learn of each other, so that there are
  // two relays and two committers: the seed introduced the same one of its few peers at every beat.
  for (const count of [2, 3, 4, 6]) {
    test(`each of ${count} members is introduced in turn`, () => {
      const peers = Array.from({ length: count }, (_, i) => member(`r${i}`));
      let state = membershipOf(peers);
      const introduced = new Set<string>();
      for (let beat = 1; beat <= 4 * count; beat += 1) {
        state = tickMembership(state, beat);
        for (const info of composeHeartbeat(state, beat).members) introduced.add(info.instance);
      }
      assert.equal(introduced.size, count);
    });
  }

  test('routers learn of each other through a third one', () => {
    let [a, b] = [member('a'), member('b')].map((self) => createMembership(self, settings));
    assert.ok(a && b);
    for (let now = 0; now < 5_000; now += 500) {
      a = tickMembership(a, now);
      b = tickMembership(observeMember(b, far(now), now), now);
      a = observeHeartbeat(a, composeHeartbeat(b, now), now);
    }
    assert.equal(judgeMember(a, far(1).incarnation, 5_000), 'alive');
  });
});

describe('bounds', () => {
  const sizes = [
    { local: 2, remote: 6, targets: 5 },
    { local: 127, remote: 21 * 127, targets: 16 },
  ];
  for (const { local, remote, targets } of sizes) {
    test(`${local} local and ${remote} other peers: heartbeats stay few and small`, () => {
      const peers = Array.from({ length: local }, (_, i) => member(`r${i}`));
      const others = Array.from({ length: remote }, (_, i) =>
        member(`r${i}`, 1, { dataCentre: `dc-${i % 22}x` }),
      );
      let state = membershipOf([...peers, ...others]);
      for (let now = 0; now < 1_500; now += 500) {
        state = tickMembership(state, now);
        assert.ok(heartbeatTargets(state, now).length <= targets);
        const bytes = JSON.stringify(composeHeartbeat(state, now)).length;
        assert.ok(bytes <= 1_024, `${bytes} bytes`);
      }
    });
  }

  test('in a large data centre a router uses the short timeout only for its ring predecessors', () => {
    const state = membershipOf(Array.from({ length: 40 }, (_, i) => member(`r${i}`)));
    const suspects = judgeMembers(state, 3_000).filter((peer) => peer.health === 'suspect');
    assert.equal(suspects.length, 4);
  });
});

// Guards against redundant heartbeats: half of them repeated what the answer to another had just sent.
describe('exchange', () => {
  const far = member('far', 1, { dataCentre: 'dc-b' });
  const other = member('other', 1, { dataCentre: 'dc-b' });
  const cases = [
    { after: 100, skipped: ['near', 'far', 'other'] },
    { after: 599, skipped: ['near', 'far', 'other'] },
    { after: 600, skipped: ['far', 'other'] },
    { after: 2_000, skipped: [] },
  ];
  for (const { after, skipped } of cases) {
    test(`${after} ms after an exchange with one of each data centre`, () => {
      const near = member('near');
      const known = membershipOf([near, far]);
      const state = observeMember(known, other, 0, 5);
      const expected = [near, far, other].filter((info) => skipped.includes(info.instance));
      const recent = recentlyExchanged(state, 1_000, after);
      assert.deepEqual(recent, new Set(expected.map((info) => info.meshUrl)));
    });
  }

  test('evidence from a third router does not count as an exchange', () => {
    const state = observeMember(membershipOf([]), member('near'), 0, 5);
    assert.equal(recentlyExchanged(state, 1_000, 1).size, 0);
  });
});

describe('local owner', () => {
  test('all members agree on the owner of a key', () => {
    const infos = ['r1', 'r2', 'r3'].map((name) => member(name));
    const owners = infos.map((self) => {
      const others = infos.filter((info) => info !== self);
      const empty = createMembership(self, settings);
      const state = others.reduce((next, info) => observeMember(next, info, 0), empty);
      return resolveLocalOwner(state, 'journal', 1).incarnation;
    });
    assert.equal(new Set(owners).size, 1);
  });

  test('a leaving router passes its keys to serving routers', () => {
    const state = updateSelf(membershipOf([member('r1')]), { state: 'leaving' });
    for (const key of ['a', 'b', 'c', 'd']) {
      assert.equal(resolveLocalOwner(state, key, 1).instance, 'r1');
    }
    assert.equal(resolveLocalOwner(state, 'a', 9_000).instance, 'self');
  });
});
