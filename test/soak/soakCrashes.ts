/** Repeatedly sends a request that crashes the engines that run it. */

import type { TestContext } from 'node:test';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { FakeStore } from '../platform/fakeStore.js';
import type { SoakProcess } from './soakProcess.js';
import { request } from 'node:http';
import { CRASHING_BODY, FakeServer } from '../platform/fakeServer.js';
import { HOST } from '../platform/world.js';

const ENGINES = 6;
const REPEAT_INTERVAL_MS = 150;
/** Crashed servers after which all instances must refuse the request. */
const PROVEN_CRASHES = 3;
/** Servers that the request may still reach after that. */
const MAX_SENT = 3;

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

  /**
   * Starts engines that the store lists under their own addresses. Behind a link, a crashed engine
   * would never refuse a connection.
   */
  static async startEngines(
    store: FakeStore,
    scope: Pick<TestContext, 'after'>,
  ): Promise<FakeServer[]> {
    const names = Array.from({ length: ENGINES }, (_, i) => `e${String(i + 1)}`);
    const engines = await Promise.all(names.map((name) => new FakeServer(name).listen(scope)));
    for (const engine of engines) registerAfterRestarts(engine, store);
    return engines;
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.#send();
    }, REPEAT_INTERVAL_MS);
  }

  /** Marks the end of all other faults; requests sent from now on are counted. */
  markFaultsEnded(): void {
    this.#arrivedBefore = this.#arrived;
    this.#wasProven = this.engines.reduce((sum, { crashed }) => sum + crashed, 0) >= PROVEN_CRASHES;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Promises broken after the last fault, one sentence each. */
  get broken(): string[] {
    const sent = this.#arrived - this.#arrivedBefore;
    if (!this.#wasProven || sent <= MAX_SENT) return [];
    return [`a request that crashes servers was sent to ${String(sent)} more after the last fault`];
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
    // A stopped instance refuses the connection; the next request goes to another one.
    req.on('error', () => undefined);
    req.end(CRASHING_BODY);
  }
}

function registerAfterRestarts(engine: FakeServer, store: FakeStore): void {
  let registeredId = engine.id;
  const register = (): void => {
    engine.bornAt = engine.crashed + 1;
    store.put('servers', engine.id, engine.entry('llm', { slots: 16 }));
  };
  engine.behaviour = 'stream';
  engine.crashes = 'after-head';
  engine.onRestart = () => {
    store.remove('servers', registeredId);
    registeredId = engine.id;
    register();
  };
  register();
}
