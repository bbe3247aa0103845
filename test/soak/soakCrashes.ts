/** Repeatedly sends requests that crash the engines that run them. */

import type { TestContext } from 'node:test';
import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { FakeStore } from '../platform/fakeStore.js';
import type { SoakProcess } from './soakProcess.js';
import { request } from 'node:http';
import { CRASHING_BODY, FakeServer } from '../platform/fakeServer.js';
import { HOST } from '../platform/world.js';

const ENGINES = 6;
const REPEAT_INTERVAL_MS = 150;
/** Crashed servers after which all instances must refuse the request, or all with the part. */
const PROVEN_CRASHES: Record<CrashCauseKind, number> = { request: 3, part: 5 };
/** Servers that such requests may still reach after that. */
const MAX_SENT = 3;
/** Part of the prompt that crashes engines. */
const BAD_PART = 'bad0';
/** Fraction of the sound requests beside them that must be served after the last fault. */
const MIN_SOUND_FRACTION = 0.5;
const MIN_SOUND = 20;

/** What crashes an engine: one request, or a part of the prompts of requests of which no two are alike. */
export type CrashCauseKind = 'request' | 'part';

export class SoakCrashes {
  #timer: NodeJS.Timeout | undefined;
  #arrivedBefore = 0;
  #wasProven = false;
  #count = 0;
  #areFaultsOver = false;
  /** Sound requests with the other parts since the last fault, and those of them that were served. */
  #sound = { sent: 0, served: 0 };

  constructor(
    readonly engines: FakeServer[],
    readonly instances: SoakProcess[],
    readonly account: string,
    readonly random: Random,
    readonly kind: CrashCauseKind,
  ) {
    if (kind === 'part') for (const engine of engines) engine.crashingPart = BAD_PART;
  }

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
      if (this.kind === 'part') this.#sendSound();
    }, REPEAT_INTERVAL_MS);
  }

  /** Marks the end of all other faults; requests sent from now on are counted. */
  markFaultsEnded(): void {
    this.#areFaultsOver = true;
    this.#arrivedBefore = this.#arrived;
    const crashed = this.engines.reduce((sum, engine) => sum + engine.crashed, 0);
    this.#wasProven = crashed >= PROVEN_CRASHES[this.kind];
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Promises broken after the last fault, one sentence each. */
  get broken(): string[] {
    const broken: string[] = [];
    const more = this.#arrived - this.#arrivedBefore;
    if (this.#wasProven && more > MAX_SENT) {
      broken.push(
        `${this.kind}s that crash servers were sent to ${String(more)} more after the last fault`,
      );
    }
    const { sent, served } = this.#sound;
    if (sent >= MIN_SOUND && served < MIN_SOUND_FRACTION * sent) {
      broken.push(
        `${String(served)} of ${String(sent)} sound requests beside a bad part were served`,
      );
    }
    return broken;
  }

  get #arrived(): number {
    const seen = this.engines.flatMap((engine) => engine.seen);
    return seen.filter(({ body, headers, ran }) => {
      const hasPart = String(headers['x-prompt-prefix']).includes(BAD_PART);
      return ran && (this.kind === 'part' ? hasPart : body === CRASHING_BODY);
    }).length;
  }

  #send(): void {
    if (this.kind === 'request') this.#request(CRASHING_BODY, {}, () => undefined);
    else this.#request(...this.#withParts(['a1', BAD_PART]), () => undefined);
  }

  #sendSound(): void {
    const isCounted = this.#areFaultsOver;
    if (isCounted) this.#sound.sent += 1;
    this.#request(...this.#withParts(['a1', 'b2']), (status) => {
      if (isCounted && status === 200) this.#sound.served += 1;
    });
  }

  /** Body and headers of a request with these parts and one of its own. */
  #withParts(shared: string[]): [string, Record<string, string>] {
    this.#count += 1;
    const own = (0xf0000 + this.#count).toString(16);
    const prefix = [...shared, own].map((part) => `${part}:10`).join();
    return [`n=${own}`, { 'x-prompt-prefix': prefix }];
  }

  #request(
    body: string,
    extra: Record<string, string>,
    onStatus: (status: number | undefined) => void,
  ): void {
    const headers = {
      host: HOST,
      'x-request-id': `c-${String(performance.now())}`,
      'x-deadline-ms': '1500',
      'x-model': 'm',
      'x-token-usage': '100,80',
      authorization: `Token key-of-${this.account}`,
      ...extra,
    };
    const { port } = this.random.pick(this.instances);
    const to = { host: '127.0.0.1', port, path: '/draft/1', method: 'POST', headers };
    const req = request(to, (res) => {
      onStatus(res.statusCode);
      res.resume();
      res.on('error', () => undefined);
    });
    // A stopped instance refuses the connection; the next request goes to another one.
    req.on('error', () => undefined);
    req.end(body);
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
