/** Stand-in for a plain service that answers reads and records each run of an entry. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Random } from '../../runtime/random.js';
import type {
  PlainServiceFaults,
  PlainServiceStandInOptions,
  ServiceRecords,
  ServiceRun,
} from '../../types/plainServiceStandIn.js';
import { setTimeout as delay } from 'node:timers/promises';
import { DelayedValues } from '../../runtime/delayedValues.js';
import { createRandom } from '../../runtime/random.js';
import { NO_SERVICE_FAULTS } from '../../types/plainServiceStandIn.js';
import {
  HttpStandIn,
  parseSwitches,
  readBody,
  requestHeader,
  requestUrl,
  sendJson,
} from '../httpStandIn.js';

const DEFAULTS = { serviceMs: 5, loadLagMs: 1_000, seed: 1 };
const LOAD_SAMPLE_MS = 100;
const MAX_RUNS = 200_000;

interface LoadReport {
  running: number;
  waiting: number;
  asOf: number;
}

/** A running plain service stand-in; see docs/LAB.md for its routes and switches. */
export class PlainServiceStandIn extends HttpStandIn {
  readonly records: ServiceRecords;
  readonly #options: typeof DEFAULTS & PlainServiceStandInOptions;
  readonly #random: Random;
  readonly #loads: DelayedValues<LoadReport>;
  #faults: PlainServiceFaults;
  #running = 0;
  #served = 0;
  #sampler: NodeJS.Timeout | undefined;

  constructor(options: PlainServiceStandInOptions) {
    super(options);
    this.#options = { ...DEFAULTS, ...options };
    this.#faults = { ...NO_SERVICE_FAULTS, ...options.faults };
    this.#random = createRandom(this.#options.seed);
    const samples = Math.ceil(this.#options.loadLagMs / LOAD_SAMPLE_MS) + 2;
    this.#loads = new DelayedValues(this.#options.loadLagMs, samples);
    this.records = options.records ?? createServiceRecords();
  }

  /** Sets the given faults; the others stay unchanged. */
  setFaults(faults: Partial<PlainServiceFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Number of calls that this server has accepted; refused calls are not counted. */
  get served(): number {
    return this.#served;
  }

  /** Runs with this caller key; more than one is a duplicate entry. */
  runsOf(callerKey: string): ServiceRun[] {
    return this.records.runs.filter((run) => run.callerKey === callerKey);
  }

  override async start(): Promise<void> {
    await super.start();
    this.#sampler = setInterval(() => {
      this.#sampleLoad();
    }, LOAD_SAMPLE_MS);
  }

  protected override reset(): void {
    clearInterval(this.#sampler);
    this.#loads.clear();
    this.#running = 0;
  }

  protected override async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = requestUrl(req);
    switch (`${req.method ?? ''} ${url.pathname}`) {
      case 'POST /control/faults':
        this.setFaults(parseSwitches(await readBody(req), this.#faults));
        sendJson(res, 200, this.#faults);
        return;
      case 'GET /control/runs':
        sendJson(res, 200, { runs: this.records.runs });
        return;
      case 'GET /load':
        sendJson(res, 200, this.#loads.latest(Date.now()) ?? this.#emptyLoad());
        return;
      case 'GET /health':
        if (this.#faults.leaving) sendJson(res, 503, { state: 'leaving' });
        else sendJson(res, 200, { state: 'ok' });
        return;
      default:
        await this.#call(req, res, url);
    }
  }

  async #call(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
    const body = await readBody(req);
    if (this.#faults.leaving) {
      sendJson(res, 503, { state: 'leaving' }, { 'retry-after': '1' });
      return;
    }
    if (this.#random.chance(this.#faults.errorRate)) {
      sendJson(res, 500, { error: { message: 'injected error' } });
      return;
    }
    this.#running += 1;
    this.#served += 1;
    try {
      await delay(this.#options.serviceMs + this.#faults.slowMs);
      if (req.method === 'GET') this.#read(req, res, url);
      else this.#enter(req, res, url, body);
    } finally {
      this.#running = Math.max(0, this.#running - 1);
    }
  }

  #read(req: IncomingMessage, res: ServerResponse, url: URL): void {
    const entry = this.records.entries.get(url.pathname) ?? null;
    const query = Object.fromEntries(url.searchParams);
    sendJson(res, 200, { path: url.pathname, query, entry }, echoId(req));
  }

  #enter(req: IncomingMessage, res: ServerResponse, url: URL, body: string): void {
    const breakAt = this.#nextBreak();
    if (breakAt === 'before-run') {
      res.destroy();
      return;
    }
    const value = JSON.parse(body) as { key?: string };
    const number = this.#record(req, url.pathname, value);
    if (breakAt === 'after-run') {
      // the entry is recorded but its reply is lost; the caller cannot distinguish this from a call
      // that never ran.
      res.destroy();
      return;
    }
    sendJson(res, 201, { path: url.pathname, entry: value, number }, echoId(req));
  }

  #record(req: IncomingMessage, path: string, value: { key?: string }): number {
    const { entries, runs } = this.records;
    const requestId = requestHeader(req, 'x-request-id') ?? '';
    runs.push({ requestId, callerKey: value.key ?? '', path, at: Date.now() });
    if (runs.length > MAX_RUNS) runs.shift();
    const number = runs.length;
    entries.set(`${path}/${value.key ?? number}`, value);
    return number;
  }

  #nextBreak(): PlainServiceFaults['breakAt'] {
    if (this.#faults.breaks === 0) return null;
    this.#faults = { ...this.#faults, breaks: this.#faults.breaks - 1 };
    return this.#faults.breakAt;
  }

  #sampleLoad(): void {
    const asOf = Date.now();
    this.#loads.add({ running: this.#running, waiting: 0, asOf }, asOf);
  }

  #emptyLoad(): LoadReport {
    return { running: 0, waiting: 0, asOf: Date.now() - this.#options.loadLagMs };
  }
}

/**
 * Starts a plain service stand-in on loopback.
 *
 * @example
 * const records = createServiceRecords();
 * const ledger = await createPlainServiceStandIn({ records });
 * ledger.setFaults({ breakAt: 'after-run', breaks: 1 });
 */
export async function createPlainServiceStandIn(
  options: PlainServiceStandInOptions = {},
): Promise<PlainServiceStandIn> {
  const service = new PlainServiceStandIn(options);
  await service.start();
  return service;
}

/** Creates records that several servers of one service can share. */
export function createServiceRecords(): ServiceRecords {
  return { entries: new Map(), runs: [] };
}

function echoId(req: IncomingMessage): Record<string, string> {
  const id = requestHeader(req, 'x-request-id');
  return id === undefined ? {} : { 'x-request-id': id };
}
