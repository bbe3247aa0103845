import type { StreamObservations } from './soakStreamChecks.js';
import type { SeenEvent, StreamTry } from './soakStreams.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { checkStreams } from './soakStreamChecks.js';

const NOTHING: StreamObservations = {
  streams: [],
  arrivals: [],
  serving: () => 2,
  isCalm: () => true,
};

function events(from: number, to: number, software: string): SeenEvent[] {
  return Array.from({ length: to - from + 1 }, (_, at) => ({ id: from + at, software }));
}

function tryOf(id: string, change: Partial<StreamTry>): StreamTry {
  return {
    id,
    instance: 'edge-1',
    status: 200,
    reason: undefined,
    events: [],
    complete: false,
    sentAt: Number(id),
    endedAt: Number(id) + 1,
    ...change,
  };
}

// Guards against a soak that plays several versions and would not see streams joined from them.
describe('the check of streams', () => {
  const begun = tryOf('1', { events: events(1, 2, 'v1') });
  const refused = tryOf('2', { status: 503, reason: 'cannot-resume' });
  const cases: { name: string; tries: StreamTry[]; ran?: string[]; broken: string[] }[] = [
    {
      name: 'accepts a stream that goes on at its version',
      tries: [begun, tryOf('2', { events: events(3, 4, 'v1'), complete: true })],
      broken: [],
    },
    {
      name: 'sees two versions over two tries',
      tries: [begun, tryOf('2', { events: events(3, 4, 'v2'), complete: true })],
      broken: ['1 2 holds events of v1 and v2'],
    },
    {
      name: 'sees two versions in one answer',
      tries: [
        tryOf('1', { events: [...events(1, 2, 'v1'), ...events(3, 4, 'v2')], complete: true }),
      ],
      broken: ['1 holds events of v1 and v2'],
    },
    {
      name: 'sees a missing event',
      tries: [begun, tryOf('2', { events: events(4, 4, 'v1') })],
      broken: ['1 2 got events out of order: 1,2,4'],
    },
    {
      name: 'sees a stream that ends too early',
      tries: [tryOf('1', { events: events(1, 3, 'v1'), complete: true })],
      broken: ['1 was ended as complete after 1,2,3'],
    },
    {
      name: 'sees an event of another request',
      tries: [tryOf('1', { events: [{ id: 1, software: 'v1', request: '7' }] })],
      broken: ['1 got events of 7'],
    },
    { name: 'accepts a refusal', tries: [begun, refused], broken: [] },
    {
      name: 'sees a refusal that is not true',
      tries: [begun, refused],
      ran: ['2'],
      broken: ['2 was refused as not run, and ran'],
    },
  ];
  for (const { name, tries, ran = [], broken } of cases) {
    test(name, () => {
      const arrivals = ran.map((id) => ({
        method: 'POST',
        url: '/draft/1',
        headers: { 'x-request-id': id },
        body: '',
        at: 0,
        ran: true,
        endedAt: undefined,
        broke: false,
      }));
      assert.deepEqual(checkStreams({ ...NOTHING, streams: [{ tries }], arrivals }).broken, broken);
    });
  }

  const shares = [
    { name: 'sees that too few streams go on', wentOn: 5, of: 12, broken: 1 },
    { name: 'accepts that half of them go on', wentOn: 6, of: 12, broken: 0 },
    { name: 'does not judge by a few streams', wentOn: 0, of: 11, broken: 0 },
  ];
  for (const { name, wentOn, of, broken } of shares) {
    test(name, () => {
      const streams = Array.from({ length: of }, (_, at) => {
        return {
          tries: [begun, at < wentOn ? tryOf('2', { events: events(3, 3, 'v1') }) : refused],
        };
      });
      assert.equal(checkStreams({ ...NOTHING, streams }).broken.length, broken);
      assert.deepEqual(checkStreams({ ...NOTHING, streams, serving: () => 1 }).broken, []);
      assert.deepEqual(checkStreams({ ...NOTHING, streams, isCalm: () => false }).broken, []);
    });
  }
});
