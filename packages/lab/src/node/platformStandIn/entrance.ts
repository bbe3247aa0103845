/** Entrance of the platform stand-in: the HTTP listener for one data centre or for operators. */

import type { CallKind, ObjectTable } from '@flamingocourse/store';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { EntranceFaults } from './entranceFaults.js';
import type { LaggingInstances } from './laggingInstances.js';
import type { ObjectRequest } from './objectRequest.js';
import type { RateLimit } from './rateLimit.js';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { runInBackground } from '@flamingocourse/kernel';
import { createEntranceFaults, consumeLostReply } from './entranceFaults.js';
import { objectJson, readBody, sendFault, sendJson, sendTableFault } from './httpReplies.js';
import { parseObjectRequest } from './objectRequest.js';
import { takeCall } from './rateLimit.js';
import { WatchHub } from './watchHub.js';

/** Bytes that a request body may contain in addition to the value. */
const envelopeBytes = 64 * 1024;

/** State and settings that all entrances share. */
export interface StandInShared {
  table: ObjectTable;
  instances: LaggingInstances;
  reads: RateLimit;
  writes: RateLimit;
  random: RandomGenerator;
  maxValueBytes: number;
  bookmarkMs: number;
  now: () => number;
}

/** Handles control calls; returns false for any other path. */
export type ControlHandler = (req: IncomingMessage, res: ServerResponse) => boolean;

/** Answers the calls of one data centre, or of the operators. */
export class Entrance {
  readonly faults: EntranceFaults = createEntranceFaults();
  readonly counters: Record<CallKind, number> = {
    get: 0,
    list: 0,
    create: 0,
    update: 0,
    remove: 0,
    watch: 0,
    instances: 0,
  };
  readonly server: Server;
  readonly #shared: StandInShared;
  readonly #watches: WatchHub;
  /** Responses to requests that were received during a silent outage. */
  readonly #unanswered = new Set<ServerResponse>();

  constructor(shared: StandInShared, control?: ControlHandler) {
    this.#shared = shared;
    this.#watches = new WatchHub(shared.table, shared.bookmarkMs, () => this.#isSilent());
    this.server = createServer((req, res) => {
      if (control?.(req, res)) return;
      runInBackground(
        () => this.#handle(req, res),
        () => res.destroy(),
      );
    });
  }

  get openWatches(): number {
    return this.#watches.size;
  }

  /** Changes fault switches; sends or closes what the previous faults blocked. */
  setFaults(faults: Partial<EntranceFaults>): void {
    Object.assign(this.faults, faults);
    if (this.faults.outage === 'refuse') this.#watches.disconnectAll();
    if (this.faults.outage !== 'silent') this.#closeUnanswered();
    this.#watches.sendPending();
  }

  close(): Promise<void> {
    this.#watches.close();
    this.#closeUnanswered();
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
      this.server.closeAllConnections();
    });
  }

  #isSilent(): boolean {
    return this.faults.freezeWatch || this.faults.outage !== 'none';
  }

  #closeUnanswered(): void {
    for (const res of this.#unanswered) res.destroy();
    this.#unanswered.clear();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req, this.#shared.maxValueBytes + envelopeBytes);
    const request = parseObjectRequest(req.method ?? 'GET', req.url ?? '/', body);
    if (request.type !== 'bad') this.counters[request.type] += 1;
    if (this.faults.latencyMs > 0) await delay(this.faults.latencyMs);
    if (this.faults.outage === 'silent') {
      this.#unanswered.add(res);
      res.on('close', () => this.#unanswered.delete(res));
      return;
    }
    if (this.faults.outage === 'refuse') sendFault(res, 503, 'outage');
    else if (this.#isWithinRateLimit(request)) this.#answer(request, res);
    else sendFault(res, 429, 'over the rate');
  }

  #isWithinRateLimit(request: ObjectRequest): boolean {
    const isWrite = ['create', 'update', 'remove'].includes(request.type);
    return takeCall(isWrite ? this.#shared.writes : this.#shared.reads, this.#shared.now());
  }

  #answer(request: ObjectRequest, res: ServerResponse): void {
    const { table } = this.#shared;
    switch (request.type) {
      case 'bad':
        sendFault(res, request.status, request.reason);
        return;
      case 'instances': {
        const items = this.#shared.instances.list(request.service, this.#shared.now());
        sendJson(res, 200, JSON.stringify({ items }));
        return;
      }
      case 'get': {
        const object = table.get(request.collection, request.name);
        if (object) sendJson(res, 200, objectJson(object));
        else sendFault(res, 404, 'not-found');
        return;
      }
      case 'list': {
        const items = table.list(request.collection).map(objectJson).join(',');
        const metadata = JSON.stringify({ resourceVersion: table.version });
        sendJson(res, 200, `{"metadata":${metadata},"items":[${items}]}`);
        return;
      }
      case 'watch':
        this.#startWatch(request, res);
        return;
      case 'create':
      case 'update':
      case 'remove':
        this.#write(request, res);
        return;
    }
  }

  #startWatch(request: ObjectRequest & { type: 'watch' }, res: ServerResponse): void {
    const missed = this.#shared.table.changesSince(request.collection, request.version);
    if (missed.isErr) sendTableFault(res, missed.error);
    else this.#watches.add(res, request.collection, request.version);
  }

  #write(
    request: ObjectRequest & { type: 'create' | 'update' | 'remove' },
    res: ServerResponse,
  ): void {
    const result = this.#apply(request);
    if (consumeLostReply(this.faults, this.#shared.random)) {
      res.destroy();
      return;
    }
    const status = request.type === 'create' ? 201 : 200;
    if (result.isOk) sendJson(res, status, objectJson(result.value));
    else sendTableFault(res, result.error);
  }

  #apply(
    request: ObjectRequest & { type: 'create' | 'update' | 'remove' },
  ): ReturnType<ObjectTable['create']> {
    const { table } = this.#shared;
    const { collection, name } = request;
    switch (request.type) {
      case 'create':
        return table.create(collection, name, request.json);
      case 'update':
        return table.update(collection, name, request.version, request.json);
      case 'remove':
        return table.remove(collection, name, request.version);
    }
  }
}
