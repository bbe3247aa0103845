/** Callers of streams that take a stream up again at another instance when their answer breaks off. */

import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { SoakProcess } from './soakProcess.js';
import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { ASKED_BEHAVIOUR, ASKED_MS } from '../platform/fakeServer.js';
import { HOST } from '../platform/world.js';
import { STOP_ACCOUNT } from './soakConfiguration.js';

/** One event of a stream, as its caller got it. */
export interface SeenEvent {
  id: number;
  /** Software version that it names. */
  software: string;
  /** Request that it names; undefined if it names none. */
  request?: string;
}

/** One request for a stream. */
export interface StreamTry {
  id: string;
  instance: string;
  /** HTTP status; 0 without an answer. */
  status: number;
  /** Reason of a refusal. */
  reason: string | undefined;
  events: SeenEvent[];
  complete: boolean;
  /** Monotonic times at which the request was sent and its answer ended. */
  sentAt: number;
  endedAt: number;
}

/** A stream over all tries of its caller. */
export interface SeenStream {
  tries: StreamTry[];
}

/** Maximum tries of one stream. */
const MAX_TRIES = 4;
/** Milliseconds for which a caller waits for its whole stream. */
const CALLER_WAITS_MS = 8_000;
/** Milliseconds after which a caller gives a try up. */
const TRY_TIMEOUT_MS = 2_500;
/** Milliseconds that a server takes for a stream. */
const STREAM_MS = { min: 50, max: 900 };
/** Maximum milliseconds between two tries. */
const MAX_PAUSE_MS = 250;
/** Milliseconds between two streams. */
const INTERVAL_MS = 40;
/** Probability that a caller loses its connection after an event, where callers do. */
const LEAVING_FRACTION = 0.4;
/** Maximum milliseconds from the first event until such a caller loses its connection. */
const MAX_LEAVE_MS = 300;

/**
 * Callers of resumable streams.
 *
 * @example
 * const streams = new SoakStreams(instances, createRandom(5));
 * streams.start();
 */
export class SoakStreams {
  readonly streams: SeenStream[] = [];
  readonly #active = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;
  #count = 0;

  constructor(
    readonly instances: readonly SoakProcess[],
    readonly random: Random,
    /** Whether callers lose connections, too, and not only servers. */
    readonly callersLeave = false,
  ) {}

  start(): void {
    this.#timer = setInterval(() => {
      const calling = this.#call().finally(() => this.#active.delete(calling));
      this.#active.add(calling);
    }, INTERVAL_MS);
  }

  /** Begins no further streams, and waits for the others. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#active);
  }

  /** Milliseconds after its first event at which a caller loses its connection; undefined if it does not. */
  #leaveMs(): number | undefined {
    if (!this.callersLeave || !this.random.chance(LEAVING_FRACTION)) return undefined;
    return this.random.int(0, MAX_LEAVE_MS);
  }

  async #call(): Promise<void> {
    this.#count += 1;
    const name = `s-${String(this.#count)}`;
    const streamMs = this.random.int(STREAM_MS.min, STREAM_MS.max);
    const stream: SeenStream = { tries: [] };
    this.streams.push(stream);
    const until = performance.now() + CALLER_WAITS_MS;
    while (stream.tries.length < MAX_TRIES && performance.now() < until) {
      const instance = this.random.pick(this.instances);
      const headers = {
        ...headersOf(`${name}-${String(stream.tries.length)}`, streamMs),
        'x-deadline-ms': String(Math.floor(until - performance.now())),
        ...resumeHeaders(stream),
      };
      const leaveMs = stream.tries.length === 0 ? this.#leaveMs() : undefined;
      stream.tries.push(await send(instance, `/draft/${name}`, headers, leaveMs));
      const last = stream.tries.at(-1);
      if (last?.complete && last.status === 200) return;
      await delay(this.random.int(0, MAX_PAUSE_MS));
    }
  }
}

/** The try that brought the first event of a stream. */
export function beginningOf({ tries }: SeenStream): StreamTry | undefined {
  return tries.find(({ events }) => events.length > 0);
}

function headersOf(id: string, streamMs: number): Record<string, string> {
  return {
    host: HOST,
    'x-request-id': id,
    authorization: `Token key-of-${STOP_ACCOUNT}`,
    'x-model': 'm',
    'x-token-usage': '100,80',
    [ASKED_BEHAVIOUR]: 'slow-stream',
    [ASKED_MS]: String(streamMs),
  };
}

function resumeHeaders(stream: SeenStream): Record<string, string> {
  const first = beginningOf(stream);
  const lastEvent = stream.tries.flatMap(({ events }) => events).at(-1);
  if (!first || !lastEvent) return {};
  return { resumes: first.id, 'last-event-id': String(lastEvent.id) };
}

function send(
  { name, port }: SoakProcess,
  path: string,
  headers: Record<string, string>,
  leaveMs: number | undefined,
): Promise<StreamTry> {
  return new Promise((resolve) => {
    const id = headers['x-request-id'] ?? '';
    const seen = { id, instance: name, status: 0, complete: false, sentAt: performance.now() };
    let body = '';
    let status = 0;
    const end = (complete: boolean): void => {
      clearTimeout(timer);
      const endedAt = performance.now();
      resolve({ ...seen, status, complete, ...parse(status, body), endedAt });
    };
    const req = request({ host: '127.0.0.1', port, path, method: 'POST', headers, agent: false });
    const timer = setTimeout(() => req.destroy(), TRY_TIMEOUT_MS);
    req.on('error', () => {
      end(false);
    });
    req.on('response', (res) => {
      status = res.statusCode ?? 0;
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => (body += chunk));
      if (leaveMs !== undefined) res.once('data', () => setTimeout(() => req.destroy(), leaveMs));
      // a broken answer is recorded as incomplete below.
      res.on('error', () => undefined);
      res.on('close', () => {
        end(res.complete);
      });
    });
    req.end(`stream=${path}`);
  });
}

function parse(status: number, body: string): Pick<StreamTry, 'events' | 'reason'> {
  if (status !== 200) return { events: [], reason: /"reason":"([^"]*)"/.exec(body)?.[1] };
  const whole = [...body.matchAll(/^id: (\d+)\ndata: piece \d+ of (\S+)(?: for (\S+))?\n\n/gm)];
  const events = whole.map(([, id, software = '', request]) => {
    return { id: Number(id), software, ...(request === undefined ? {} : { request }) };
  });
  return { events, reason: undefined };
}
