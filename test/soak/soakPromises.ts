/** What callers and servers must have seen, whatever failed. */

import type { RequestedPauseWindow, SeenRequest } from '../platform/fakeServer.js';
import type { SeenAnswer } from './soakCallers.js';
import { USED_INSTANCE, event } from '../platform/fakeServer.js';

/** Tokens in one event of the stand-ins' streams. */
export const TOKENS_PER_EVENT = 3;
const EVENTS = 4;
/** Milliseconds from a server's word to the time in which its rest is judged, and requests allowed in it. */
const REST_HEARD_MS = 500;
const MOST_IN_REST = 2;
const NOT_RUN: readonly number[] = [408, 421, 429, 503];

/** All that was seen of one run. */
export interface Seen {
  answers: readonly SeenAnswer[];
  /** What reached the servers. */
  arrivals: readonly SeenRequest[];
  /** What reached each server, by its id. */
  arrivalsOf: ReadonlyMap<string, readonly SeenRequest[]>;
  /** Rests that servers asked for, without those in which the instance was disturbed. */
  rests: readonly RequestedPauseWindow[];
  /** The highest limit that each account ever had. */
  limits: ReadonlyMap<string, number>;
}

/**
 * Every broken promise, in a sentence each.
 *
 * @example
 * assert.deepEqual(brokenPromises(seen), []);
 */
export function brokenPromises(seen: Seen): string[] {
  const runs = countRuns(seen.arrivals);
  return [
    ...seen.answers.flatMap((answer) => brokenByAnswer(answer, runs.get(answer.id) ?? 0)),
    ...passedBudgets(seen),
    ...leakedKeys(seen.arrivals),
    ...brokenRests(seen),
  ];
}

function countRuns(arrivals: readonly SeenRequest[]): Map<string, number> {
  const runs = new Map<string, number>();
  for (const { headers, ran } of arrivals) {
    if (!ran) continue;
    const id = String(headers['x-request-id']);
    runs.set(id, (runs.get(id) ?? 0) + 1);
  }
  return runs;
}

function brokenByAnswer(answer: SeenAnswer, runs: number): string[] {
  const { id, kind, status, answeredId, body, complete } = answer;
  const broken: string[] = [];
  const once = kind === 'book' || kind === 'chat';
  if (once && runs > 1) broken.push(`${id} (${kind}) ran ${String(runs)} times`);
  if (NOT_RUN.includes(status) && once && runs > 0) {
    broken.push(`${id} (${kind}) was answered ${String(status)} and ran`);
  }
  if (status === 200 && answeredId !== id)
    broken.push(`${id} got the answer to ${answeredId ?? 'none'}`);
  if (status === 401 || status === 404) broken.push(`${id} was refused with ${String(status)}`);
  const isStream = kind === 'chat' || kind === 'draft';
  if (status === 200 && isStream) {
    const whole = Array.from({ length: EVENTS }, (_, at) => event(at + 1)).join('');
    if (!whole.startsWith(body)) broken.push(`${id} got events out of order: ${body}`);
    if (complete && body !== whole) broken.push(`${id} was ended as complete after ${body}`);
  }
  return broken;
}

function passedBudgets({ answers, limits }: Seen): string[] {
  const used = new Map<string, number>();
  for (const { account, kind, status, prompt, body } of answers) {
    const events = body.split('\n\n').length - 1;
    if (status !== 200 || events === 0 || kind === 'look' || kind === 'book') continue;
    used.set(account, (used.get(account) ?? 0) + prompt + events * TOKENS_PER_EVENT);
  }
  return [...used]
    .filter(([account, tokens]) => tokens > (limits.get(account) ?? Infinity))
    .map(
      ([account, tokens]) => `${account} used ${String(tokens)} of ${String(limits.get(account))}`,
    );
}

function leakedKeys(arrivals: readonly SeenRequest[]): string[] {
  return arrivals
    .filter(({ headers }) => headers.authorization !== undefined)
    .map(({ headers }) => `the key of ${String(headers['x-request-id'])} was passed on`);
}

function brokenRests({ rests, arrivalsOf }: Seen): string[] {
  return rests.flatMap(({ server, instance, from, until }) => {
    const inRest = (arrivalsOf.get(server) ?? []).filter(({ at, headers }) => {
      return headers[USED_INSTANCE] === instance && at > from + REST_HEARD_MS && at < until;
    });
    if (inRest.length <= MOST_IN_REST) return [];
    return [`${instance} sent ${String(inRest.length)} requests to ${server} in its rest`];
  });
}
