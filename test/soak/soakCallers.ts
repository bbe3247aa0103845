/** Callers that send requests of all kinds to the instances and record the answers. */

import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { SoakProcess } from './soakProcess.js';
import { Agent, request } from 'node:http';
import { USED_INSTANCE } from '../platform/fakeServer.js';
import { HOST } from '../platform/world.js';

export type CallKind = 'look' | 'book' | 'chat' | 'draft';

/** One request and the answer that its caller received. */
export interface SeenAnswer {
  id: string;
  kind: CallKind;
  account: string;
  prompt: number;
  /** HTTP status; 0 without an answer. */
  status: number;
  /** Request id in the answer. */
  answeredId: string | undefined;
  /** Signature of the server in the answer. */
  signature?: string | undefined;
  body: string;
  complete: boolean;
  /** Instance that the caller used. */
  instance: string;
  /** Monotonic time at which the request was sent. */
  sentAt: number;
  /** Monotonic time at which the answer or the connection ended. */
  endedAt: number;
  /** Whether the caller closed the connection before the answer ended. */
  left: boolean;
}

/** Milliseconds after which a caller closes the connection. */
const CALLER_TIMEOUT_MS = 2_500;
/** Deadline that a caller sends with a request, in milliseconds. */
const DEADLINE_MS = 1_500;

/** Parts of a request that a run chooses. */
export interface CallShape {
  headers: Record<string, string>;
  /** Bytes of the request body in addition to the id. */
  bodyBytes: number;
}

export class SoakCallers {
  /** Called once for each request. */
  shape: (kind: CallKind) => CallShape = () => ({ headers: {}, bodyBytes: 0 });
  readonly answers: SeenAnswer[] = [];
  /** Callers reuse open connections until the instance closes them. */
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 32 });
  readonly #inFlight = new Set<Promise<void>>();
  #count = 0;

  constructor(
    readonly instances: SoakProcess[],
    readonly accounts: string[],
    readonly random: Random,
    readonly idPrefix = 'q',
  ) {}

  /** Sends one request; its answer is recorded when it ends. */
  send(): void {
    const { random } = this;
    this.#count += 1;
    const call = {
      id: `${this.idPrefix}-${String(this.#count)}`,
      kind: random.pick<CallKind>(['look', 'book', 'chat', 'draft']),
      account: random.pick(this.accounts),
      prompt: random.int(100, 2_000),
    };
    const done = this.#request(random.pick(this.instances), call).then((answer) => {
      this.answers.push(answer);
      this.#inFlight.delete(done);
    });
    this.#inFlight.add(done);
  }

  async settle(): Promise<void> {
    await Promise.all(this.#inFlight);
  }

  close(): void {
    this.#agent.destroy();
  }

  #request(
    { name, port }: SoakProcess,
    call: Pick<SeenAnswer, 'id' | 'kind' | 'account' | 'prompt'>,
  ): Promise<SeenAnswer> {
    const shape = this.shape(call.kind);
    const generates = call.kind === 'chat' || call.kind === 'draft';
    const headers = {
      host: HOST,
      'x-request-id': call.id,
      'x-deadline-ms': String(DEADLINE_MS),
      authorization: `Token key-of-${call.account}`,
      [USED_INSTANCE]: name,
      ...(generates ? { 'x-model': 'm', 'x-token-usage': `${String(call.prompt)},80` } : {}),
      ...shape.headers,
    };
    return new Promise((resolve) => {
      const answer: SeenAnswer = {
        ...call,
        status: 0,
        answeredId: undefined,
        body: '',
        complete: false,
        instance: name,
        sentAt: performance.now(),
        endedAt: Infinity,
        left: false,
      };
      const req = request({
        host: '127.0.0.1',
        port,
        path: `/${call.kind}/1`,
        method: 'POST',
        headers,
        agent: this.#agent,
      });
      const timer = setTimeout(() => {
        answer.left = true;
        req.destroy();
      }, CALLER_TIMEOUT_MS);
      const end = (): void => {
        clearTimeout(timer);
        answer.endedAt = performance.now();
        resolve(answer);
      };
      req.on('error', end);
      req.on('response', (res) => {
        answer.status = res.statusCode ?? 0;
        answer.answeredId = res.headers['x-request-id']?.toString();
        answer.signature = res.headers['x-response-signature']?.toString();
        res.setEncoding('utf8');
        res.on('data', (chunk: string) => (answer.body += chunk));
        // A broken answer is recorded as incomplete below.
        res.on('error', () => undefined);
        res.on('close', () => {
          answer.complete = res.complete;
          end();
        });
      });
      req.end(`id=${call.id}${'x'.repeat(shape.bodyBytes)}`);
    });
  }
}
