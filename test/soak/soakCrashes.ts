/** A request that ends the engines that run it, sent again and again. */

import type { TestContext } from 'node:test';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { FakeStore } from '../platform/fakeStore.js';
import type { SoakProcess } from './soakProcess.js';
import { request } from 'node:http';
import { CRASHING_BODY, FakeServer } from '../platform/fakeServer.js';
import { HOST } from '../platform/world.js';

const ENGINES = 6;
const REPEAT_MS = 150;
/** Servers that end before all have to refuse it, and times that it may be sent on afterwards. */
const PROVEN = 3;
const MOST_SENT = 3;

export class SoakCrashes {
  #timer: NodeJS.Timeout | undefined;
  #arrivedBefore = 0;
  #wasProven = false;

  constructor(
    readonly engines: FakeServer[],
    readonly instances: SoakProcess[],
    readonly account: string,
    readonly random: Random,
  ) {}

  /** Starts engines that the store lists at their own address: behind a link they would never refuse a connection. */
  static async startEngines(
    store: FakeStore,
    scope: Pick<TestContext, 'after'>,
  ): Promise<FakeServer[]> {
    const names = Array.from({ length: ENGINES }, (_, i) => `e${String(i + 1)}`);
    const engines = await Promise.all(names.map((name) => new FakeServer(name).listen(scope)));
    for (const engine of engines) listAgainAfterCrashes(engine, store);
    return engines;
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.#send();
    }, REPEAT_MS);
  }

  /** From now on nothing disturbs the instances. */
  beginCalm(): void {
    this.#arrivedBefore = this.#arrived;
    this.#wasProven = this.engines.reduce((sum, { crashed }) => sum + crashed, 0) >= PROVEN;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** What was broken in the calm, in a sentence. */
  get broken(): string[] {
    const sent = this.#arrived - this.#arrivedBefore;
    if (!this.#wasProven || sent <= MOST_SENT) return [];
    return [`a request that ends servers was sent to ${String(sent)} more in the calm`];
  }

  get #arrived(): number {
    const seen = this.engines.flatMap((engine) => engine.seen);
    return seen.filter(({ body, ran }) => ran && body === CRASHING_BODY).length;
  }

  #send(): void {
    const headers = {
      host: HOST,
      'x-request-id': `c-${String(performance.now())}`,
      'x-deadline-ms': '1500',
      'x-model': 'm',
      'x-token-usage': '100,80',
      authorization: `Token key-of-${this.account}`,
    };
    const { port } = this.random.pick(this.instances);
    const to = { host: '127.0.0.1', port, path: '/draft/1', method: 'POST', headers };
    const req = request(to, (res) => res.resume());
    // an instance that is away refuses it; the next try goes to another one.
    req.on('error', () => undefined);
    req.end(CRASHING_BODY);
  }
}

function listAgainAfterCrashes(engine: FakeServer, store: FakeStore): void {
  let listed = engine.id;
  const list = (): void => {
    store.put('servers', engine.id, engine.entry('llm', { slots: 16, born: engine.crashed + 1 }));
  };
  engine.behaviour = 'stream';
  engine.crashes = 'after-head';
  engine.onRestart = () => {
    store.remove('servers', listed);
    listed = engine.id;
    list();
  };
  list();
}
