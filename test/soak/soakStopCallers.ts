/** Callers that use an instance while it stops, in the ways in which a stop can fail them. */

import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { CallKind, SeenAnswer } from './soakCallers.js';
import type { LongCall } from './soakConnection.js';
import type { SoakProcess } from './soakProcess.js';
import { setTimeout as delay } from 'node:timers/promises';
import { LARGE_BYTES } from '../platform/fakeServer.js';
import { SoakConnection } from './soakConnection.js';
import { STOP_GRACE_MS } from './soakFleet.js';

/** Milliseconds from the opening of the connections to the stop. */
export const STOP_LEAD_MS = 300;
/** Milliseconds after the opening at which a slow reader has read all; within the grace period. */
const SLOW_READER_ENDS_MS = STOP_LEAD_MS + 3_200;
/** Maximum milliseconds that a server takes for a plain answer. */
const MAX_ANSWER_MS = 400;
const PLAIN_KINDS: readonly CallKind[] = ['look', 'book'];
const STREAM_KINDS: readonly CallKind[] = ['chat', 'draft'];

/** How a caller uses its connection; also the prefix of its request ids. */
type Pattern =
  /** A stream that goes on during the stop, then one request after another. */
  | 'after-stream'
  /** Plain requests in the same write as a stream. */
  | 'pipelined'
  /** Plain requests while a stream runs. */
  | 'behind-stream'
  /** One request after another until the connection is closed. */
  | 'keeps-calling'
  /** A large answer that is read slowly. */
  | 'slow-reader'
  /** The first request on the connection comes late. */
  | 'late-first';

const PATTERNS: readonly Pattern[] = [
  'after-stream',
  'pipelined',
  'behind-stream',
  'keeps-calling',
  'slow-reader',
  'late-first',
];
/** Callers of each pattern at each stop. */
const CALLERS_PER_PATTERN = 2;

/**
 * Callers around the stops of instances.
 *
 * @example
 * const callers = new StopCallers(createRandom(9));
 * callers.begin(instance);
 * await delay(STOP_LEAD_MS);
 * await instance.end('SIGTERM');
 */
export class StopCallers {
  readonly #random: Random;
  readonly #connections: SoakConnection[] = [];
  readonly #active = new Set<Promise<void>>();
  #count = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  /** All requests of the callers; complete once `settle` has resolved. */
  get answers(): SeenAnswer[] {
    return this.#connections.flatMap(({ answers }) => answers);
  }

  /** Opens connections to an instance and uses them until they are closed. */
  begin(instance: SoakProcess): void {
    const patterns = Array.from({ length: CALLERS_PER_PATTERN }, () => PATTERNS).flat();
    for (const pattern of patterns) {
      const using = this.#use(instance, pattern).finally(() => this.#active.delete(using));
      this.#active.add(using);
    }
  }

  /** Waits until all connections are closed. */
  async settle(): Promise<void> {
    await Promise.all(this.#active);
  }

  async #use(instance: SoakProcess, pattern: Pattern): Promise<void> {
    const random = this.#random;
    const beginMs = random.int(0, STOP_LEAD_MS);
    const streamMs = random.int(500, STOP_GRACE_MS + STOP_LEAD_MS);
    const lateMs = STOP_LEAD_MS + random.int(0, STOP_GRACE_MS);
    const readMs = random.int(500, 1_500);
    const stream = this.#call(pattern, random.pick(STREAM_KINDS), streamMs);
    const plain = this.#call(pattern, random.pick(PLAIN_KINDS));
    const pace = pattern === 'slow-reader' ? { bytes: LARGE_BYTES, forMs: readMs } : undefined;
    const connection = new SoakConnection(instance, pace);
    this.#connections.push(connection);
    switch (pattern) {
      case 'after-stream':
        await delay(beginMs);
        connection.send(stream);
        await connection.answered();
        await this.#keepCalling(connection, pattern, 0);
        break;
      case 'pipelined':
        await delay(random.chance(0.5) ? beginMs : lateMs);
        connection.send(stream, plain, this.#call(pattern, random.pick(PLAIN_KINDS)));
        break;
      case 'behind-stream':
        await delay(beginMs);
        connection.send(stream);
        await delay(random.int(0, streamMs));
        connection.send(plain);
        break;
      case 'keeps-calling':
        await this.#keepCalling(connection, pattern, random.int(0, 150));
        break;
      case 'slow-reader':
        await delay(random.chance(0.5) ? beginMs : SLOW_READER_ENDS_MS - readMs);
        connection.send({ ...plain, kind: 'look', asks: { behaviour: 'large' } });
        break;
      case 'late-first':
        await delay(lateMs);
        connection.send(plain);
        break;
    }
    await connection.closed();
  }

  async #keepCalling(connection: SoakConnection, pattern: Pattern, pauseMs: number): Promise<void> {
    const kinds = [...PLAIN_KINDS, ...STREAM_KINDS];
    while (!connection.isClosed) {
      connection.send(this.#call(pattern, this.#random.pick(kinds)));
      await connection.answered();
      await delay(pauseMs);
    }
  }

  /** A request with a new id, whose answer takes the given time or, by default, a short one. */
  #call(pattern: Pattern, kind: CallKind, answerMs?: number): LongCall {
    this.#count += 1;
    const id = `${pattern}-${String(this.#count)}`;
    const forMs = answerMs ?? this.#random.int(0, MAX_ANSWER_MS);
    const behaviour = PLAIN_KINDS.includes(kind) ? 'slow-answer' : 'slow-stream';
    return { id, kind, asks: { behaviour, forMs } };
  }
}
