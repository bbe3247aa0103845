/** One connection of a caller that sends, waits and reads as it likes and leaves only at the end. */

import type { Socket } from 'node:net';
import type { CallKind, SeenAnswer } from './soakCallers.js';
import type { SoakProcess } from './soakProcess.js';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { ASKED_BEHAVIOUR, ASKED_MS, USED_INSTANCE } from '../platform/fakeServer.js';
import { HOST } from '../platform/world.js';
import { AnswerParser } from './soakAnswerParser.js';
import { STOP_ACCOUNT } from './soakConfiguration.js';
import { LONG_MS, LONG_PREFIX } from './soakFleet.js';

/** Milliseconds after which a caller closes its connection; longer than any stop. */
const CALLER_LIFE_MS = 12_000;
const POLL_MS = 5;
const PROMPT_TOKENS = 100;
const MAX_OUTPUT_TOKENS = 80;

/** A request before it is sent. */
export interface LongCall {
  id: string;
  kind: CallKind;
  /** What the server is asked for instead of its usual answer. */
  asks?: { behaviour: 'slow-answer' | 'slow-stream'; forMs: number } | { behaviour: 'large' };
}

/** Speed at which a caller reads. */
export interface Pace {
  bytes: number;
  forMs: number;
}

export class SoakConnection {
  readonly #parser = new AnswerParser();
  readonly #sent: SeenAnswer[] = [];
  readonly #socket: Socket;
  readonly #timer: NodeJS.Timeout;
  #hasLeft = false;

  /** Connects to an instance; with a pace, reads no faster than that. */
  constructor(
    readonly instance: SoakProcess,
    pace?: Pace,
  ) {
    const socket = connect(instance.port, '127.0.0.1');
    this.#socket = socket;
    this.#timer = setTimeout(() => {
      this.#hasLeft = true;
      socket.destroy();
    }, CALLER_LIFE_MS);
    // A connection that fails or breaks is recorded by the answers that it lacks.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(this.#timer);
      this.#update();
    });
    socket.on('data', (bytes) => {
      this.#parser.push(bytes);
      this.#update();
    });
    if (pace) readSlowly(socket, pace);
  }

  get isClosed(): boolean {
    return this.#socket.closed;
  }

  /** Requests sent so far, with their answers. */
  get answers(): readonly SeenAnswer[] {
    return this.#sent;
  }

  /** Sends requests in one write; nothing if the connection is closed. */
  send(...calls: LongCall[]): void {
    if (this.#socket.destroyed) return;
    const sentAt = performance.now();
    this.#sent.push(...calls.map((call) => this.#unanswered(call, sentAt)));
    this.#socket.write(calls.map((call) => encode(call, this.instance.name)).join(''));
  }

  /** Waits until all requests are answered or the connection is closed. */
  async answered(): Promise<void> {
    while (!this.isClosed && this.#parser.completed < this.#sent.length) await delay(POLL_MS);
  }

  async closed(): Promise<void> {
    while (!this.isClosed) await delay(POLL_MS);
  }

  #unanswered({ id, kind }: LongCall, sentAt: number): SeenAnswer {
    return {
      id,
      kind,
      account: STOP_ACCOUNT,
      prompt: PROMPT_TOKENS,
      status: 0,
      answeredId: undefined,
      body: '',
      complete: false,
      instance: this.instance.name,
      sentAt,
      endedAt: Infinity,
      left: false,
    };
  }

  /** Copies what has arrived into the records of the requests, which are answered in order. */
  #update(): void {
    const now = performance.now();
    for (const [at, answer] of this.#sent.entries()) {
      if (answer.endedAt !== Infinity) continue;
      const parsed = this.#parser.answers[at];
      if (parsed) {
        const { status, id: answeredId, body, complete } = parsed;
        Object.assign(answer, { status, answeredId, body, complete });
      }
      if (!answer.complete && !this.isClosed) continue;
      answer.endedAt = now;
      answer.left = !answer.complete && this.#hasLeft;
    }
  }
}

/** Pauses a socket whenever it has read more than its pace allows. */
function readSlowly(socket: Socket, { bytes, forMs }: Pace): void {
  let read = 0;
  let startedAt: number | undefined;
  socket.on('data', (chunk) => {
    startedAt ??= performance.now();
    read += chunk.length;
    const waitMs = startedAt + (read / bytes) * forMs - performance.now();
    if (waitMs <= 0) return;
    socket.pause();
    setTimeout(() => socket.resume(), waitMs);
  });
}

function encode({ id, kind, asks }: LongCall, instance: string): string {
  const head = [
    `POST ${LONG_PREFIX}/${kind}/1 HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `X-Deadline-Ms: ${String(LONG_MS)}`,
    `Authorization: Token key-of-${STOP_ACCOUNT}`,
    `${USED_INSTANCE}: ${instance}`,
    ...(kind === 'chat' || kind === 'draft'
      ? ['X-Model: m', `X-Token-Usage: ${String(PROMPT_TOKENS)},${String(MAX_OUTPUT_TOKENS)}`]
      : []),
    ...(asks ? [`${ASKED_BEHAVIOUR}: ${asks.behaviour}`] : []),
    ...(asks && 'forMs' in asks ? [`${ASKED_MS}: ${String(asks.forMs)}`] : []),
    'Content-Length: 3',
  ];
  return `${head.join('\r\n')}\r\n\r\nx=1`;
}
