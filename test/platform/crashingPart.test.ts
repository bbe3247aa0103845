import type { CrashMoment, SeenRequest } from './fakeServer.js';
import type { Answer, World } from './world.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { withFleet } from './crashFleet.js';
import { createRandom } from '../routing/fixtures/seededRandom.js';

const BAD_PART = 'bad0';
/** Milliseconds between two requests with the bad part, and between two others. */
const BAD_INTERVAL_MS = 450;
const SOUND_INTERVAL_MS = 25;
/** Crashed servers after which such requests must be stopped. */
const PROVEN_CRASHES = 5;
/** Milliseconds after that until every instance must know of the part. */
const KNOWN_WITHIN_MS = 3_000;
/** Maximum number of such requests that may be sent after that. */
const MAX_SENT_LATER = 3;
/** Milliseconds for which requests with the bad part are sent. */
const SENT_MS = 14_000;
/** Fraction of the sound requests that must be served from twice that time after the crash. */
const MIN_SOUND_FRACTION = 0.95;

interface Case {
  name: string;
  path: string;
  moment: CrashMoment;
  /** Parts of a request; the last one is its own. */
  parts: (own: string) => string[];
}

const cases: Case[] = [
  {
    name: 'second part, streams',
    path: '/chat/a',
    moment: 'after-head',
    parts: (own) => ['a1', BAD_PART, own],
  },
  {
    name: 'first part, streams',
    path: '/chat/a',
    moment: 'after-head',
    parts: (own) => [BAD_PART, 'b2', own],
  },
  {
    name: 'second part, resumable streams, before the head',
    path: '/draft/a',
    moment: 'before-head',
    parts: (own) => ['a1', BAD_PART, own],
  },
];

describe(
  'a part of prompts that crashes each server that begins to answer',
  { concurrency: 2 },
  () => {
    for (const { name, path, moment, parts } of cases) {
      // Guards against requests of which no two are alike, so that none is ever known to crash its servers.
      test(`is refused at all instances once five servers have crashed, and nothing else: ${name}`, async (t) => {
        await withFleet(t, moment, async (fleet) => {
          for (const { servers } of fleet) for (const each of servers) each.crashingPart = BAD_PART;
          const random = createRandom(7);
          const answers: { sentAt: number; answer: Promise<Answer> }[] = [];
          let count = 0;
          const send = (promptParts: (own: string) => string[]): Promise<Answer> => {
            count += 1;
            const own = (0xf0000 + count).toString(16);
            const prefix = promptParts(own).map((part) => `${part}:10`);
            const world = fleet[Math.floor(random() * fleet.length)];
            assert.ok(world);
            const headers = {
              'x-model': 'm',
              'x-token-usage': '30,10',
              'x-prompt-prefix': prefix.join(),
            };
            return world.call({ path, headers, body: `n=${own}` });
          };
          const sound = setInterval(() => {
            const [first = 'a1', second = 'b2'] = parts('').map((part) => {
              return part === BAD_PART ? `c${String(count % 9)}` : part;
            });
            answers.push({
              sentAt: performance.now(),
              answer: send((own) => [first, second, own]),
            });
          }, SOUND_INTERVAL_MS);
          const endAt = performance.now() + SENT_MS;
          while (performance.now() < endAt) {
            void send(parts);
            await delay(BAD_INTERVAL_MS);
          }
          clearInterval(sound);
          const knownAt = provenAt(fleet) + KNOWN_WITHIN_MS;
          const later = runsOf(fleet).filter(({ at }) => at > knownAt).length;
          const others = answers.filter(({ sentAt }) => sentAt > knownAt + KNOWN_WITHIN_MS);
          const statuses = await Promise.all(others.map(({ answer }) => answer));
          const served = statuses.filter(
            ({ status, complete }) => status === 200 && complete,
          ).length;
          assert.ok(others.length > 50, 'too few others were sent');
          assert.ok(later <= MAX_SENT_LATER, `${String(later)} were sent later`);
          assert.ok(
            served >= MIN_SOUND_FRACTION * others.length,
            `${String(served)} of ${String(others.length)} others were served`,
          );
        });
      });
    }
  },
);

/** Requests with the part that reached a server, in order. */
function runsOf([first]: readonly World[]): SeenRequest[] {
  const seen = first?.servers.flatMap((server) => server.seen) ?? [];
  return seen
    .filter(({ headers, ran }) => ran && String(headers['x-prompt-prefix']).includes(BAD_PART))
    .sort((a, b) => a.at - b.at);
}

/** When such a request reached the fifth server that it crashed, or the last one of fewer. */
function provenAt(fleet: readonly World[]): number {
  const firstAt = new Map<string, number>();
  for (const { headers, at } of runsOf(fleet)) {
    const server = String(headers['x-expect-instance']);
    if (!firstAt.has(server)) firstAt.set(server, at);
  }
  const crashedAt = [...firstAt.values()].slice(0, PROVEN_CRASHES).at(-1);
  assert.ok(crashedAt !== undefined, 'no server was crashed');
  return crashedAt;
}
