/** Checks that callers and servers observed no broken promise under the injected faults. */

import type { RequestedPauseWindow, SeenRequest } from '../platform/fakeServer.js';
import type { SeenAnswer } from './soakCallers.js';
import { USED_INSTANCE, event, softwareOf } from '../platform/fakeServer.js';

/** Tokens per event in the streams of the stand-ins. */
export const TOKENS_PER_EVENT = 3;
const EVENTS = 4;
/** Milliseconds after the start of a requested pause in which requests do not count yet. */
const PAUSE_GRACE_MS = 500;
/** Requests that may still be sent during a requested pause. */
const MAX_IN_PAUSE = 2;
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Observations of one run. */
export interface RunObservations {
  answers: readonly SeenAnswer[];
  /** Requests that reached the servers. */
  arrivals: readonly SeenRequest[];
  /** Requests that reached each server, by its id. */
  arrivalsOf: ReadonlyMap<string, readonly SeenRequest[]>;
  /** Pauses that servers requested, without those during which the instance received a signal. */
  pauses: readonly RequestedPauseWindow[];
  /** Highest limit of each account during the run. */
  limits: ReadonlyMap<string, number>;
  /** Whether events name the request that they belong to. */
  namesRequests?: boolean;
}

/**
 * Returns the broken promises, one sentence each.
 *
 * @example
 * assert.deepEqual(brokenPromises(seen), []);
 */
export function brokenPromises(seen: RunObservations): string[] {
  const runs = countRuns(seen.arrivals);
  return [
    ...seen.answers.flatMap((answer) => {
      return brokenByAnswer(answer, runs.get(answer.id) ?? 0, seen.namesRequests ?? false);
    }),
    ...exceededBudgets(seen),
    ...forwardedKeys(seen.arrivals),
    ...brokenPauses(seen),
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

function brokenByAnswer(answer: SeenAnswer, runs: number, namesRequests: boolean): string[] {
  const { id, kind, status, answeredId, body, complete } = answer;
  const broken: string[] = [];
  const once = kind === 'book' || kind === 'chat';
  if (once && runs > 1) broken.push(`${id} (${kind}) ran ${String(runs)} times`);
  if (NOT_RUN_STATUSES.includes(status) && once && runs > 0) {
    broken.push(`${id} (${kind}) was answered ${String(status)} and ran`);
  }
  if (status === 200 && answeredId !== id)
    broken.push(`${id} got the answer to ${answeredId ?? 'none'}`);
  if (status === 401 || status === 404) broken.push(`${id} was refused with ${String(status)}`);
  const isStream = kind === 'chat' || kind === 'draft';
  if (status === 200 && isStream) {
    const [software] = softwareOf(body);
    const owner = namesRequests ? id : undefined;
    const events = Array.from({ length: EVENTS }, (_, at) => event(at + 1, software, owner));
    const whole = events.join('');
    if (!whole.startsWith(body)) broken.push(`${id} got events out of order: ${body}`);
    if (complete && body !== whole) broken.push(`${id} was ended as complete after ${body}`);
  }
  return broken;
}

function exceededBudgets({ answers, limits }: RunObservations): string[] {
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

function forwardedKeys(arrivals: readonly SeenRequest[]): string[] {
  return arrivals
    .filter(({ headers }) => headers.authorization !== undefined)
    .map(
      ({ headers }) => `the key of ${String(headers['x-request-id'])} was forwarded to a server`,
    );
}

function brokenPauses({ pauses, arrivalsOf }: RunObservations): string[] {
  return pauses.flatMap(({ server, instance, from, until }) => {
    const duringPause = (arrivalsOf.get(server) ?? []).filter(({ at, headers }) => {
      return headers[USED_INSTANCE] === instance && at > from + PAUSE_GRACE_MS && at < until;
    });
    if (duringPause.length <= MAX_IN_PAUSE) return [];
    return [
      `${instance} sent ${String(duringPause.length)} requests to ${server} during its pause`,
    ];
  });
}
