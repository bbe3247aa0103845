/** Sends records of streams to the instances that hold them, in batches. */

import type { FleetInstance, StreamRecord } from '@flamingocourse/core';
import type { GatewayContext } from '../types/context.js';
import type { StreamCalls } from '../types/streamCalls.js';
import { MAX_STREAMS_PER_MESSAGE } from '@flamingocourse/core';

/** Milliseconds over which records for the same instance are gathered. */
const BATCH_MS = 40;
/** Instances that are tried for one record before it is given up. */
const MAX_TRIES = 6;
/** Milliseconds for which an instance that did not answer is tried after the others. */
const AVOIDED_MS = 2_000;
/** Service that sends the records, for the log. */
const OWNER = 'streams';

/** A record on its way to one instance. */
interface QueuedRecord {
  record: StreamRecord;
  /** Instances that may take its place, in order. */
  others: FleetInstance[];
}

/**
 * Sender of records.
 *
 * @example
 * sender.send(record, holders.toRecord(record.key), 2);
 */
export class StreamRecordSender {
  readonly #context: GatewayContext;
  readonly #calls: StreamCalls;
  readonly #batches = new Map<string, { peer: FleetInstance; queued: QueuedRecord[] }>();
  readonly #failedAt = new Map<string, number>();
  readonly #sending = new Set<Promise<void>>();
  #timer: NodeJS.Timeout | undefined;

  constructor(context: GatewayContext, calls: StreamCalls) {
    this.#context = context;
    this.#calls = calls;
  }

  /** Sends a record to `copies` of these instances; those that fail are replaced by the next ones. */
  send(record: StreamRecord, holders: readonly FleetInstance[], copies: number): void {
    const others = this.#answeringFirst(holders.slice(0, MAX_TRIES));
    for (let copy = 0; copy < copies; copy += 1) this.#queue({ record, others });
  }

  /** Sends what is gathered, and waits until it has been answered. */
  async flush(): Promise<void> {
    while (this.#batches.size > 0 || this.#sending.size > 0) {
      this.#sendBatches();
      await Promise.all(this.#sending);
    }
  }

  /** Puts a record into the batch of the next instance. Its copies share the list of instances. */
  #queue(next: QueuedRecord): void {
    const peer = next.others.shift();
    if (!peer) return;
    const batch = this.#batches.get(peer.name) ?? { peer, queued: [] };
    batch.queued.push(next);
    this.#batches.set(peer.name, batch);
    this.#timer ??= this.#context.background.after(BATCH_MS, OWNER, () => {
      this.#sendBatches();
    });
  }

  #sendBatches(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const batches = [...this.#batches.values()];
    this.#batches.clear();
    for (const { peer, queued } of batches) {
      for (let from = 0; from < queued.length; from += MAX_STREAMS_PER_MESSAGE) {
        const part = queued.slice(from, from + MAX_STREAMS_PER_MESSAGE);
        const sent = this.#sendTo(peer, part).finally(() => this.#sending.delete(sent));
        this.#sending.add(sent);
        this.#context.background.run(OWNER, () => sent);
      }
    }
  }

  async #sendTo(peer: FleetInstance, queued: QueuedRecord[]): Promise<void> {
    const kept = await this.#calls.keep(
      peer,
      queued.map(({ record }) => record),
    );
    if (kept.isOk) {
      this.#failedAt.delete(peer.name);
      return;
    }
    this.#failedAt.set(peer.name, this.#context.clock.now());
    const lost = queued.filter(({ others }) => others.length === 0);
    if (lost.length > 0) {
      const fields = { peer: peer.name, streams: lost.length, reason: kept.error };
      this.#context.log.write('stream-records-unsent', fields);
    }
    for (const next of queued) this.#queue(next);
  }

  #answeringFirst(holders: readonly FleetInstance[]): FleetInstance[] {
    const now = this.#context.clock.now();
    const isAvoided = ({ name }: FleetInstance): boolean => {
      return now - (this.#failedAt.get(name) ?? -Infinity) < AVOIDED_MS;
    };
    return [
      ...holders.filter((holder) => !isAvoided(holder)),
      ...holders.filter((holder) => isAvoided(holder)),
    ];
  }
}
