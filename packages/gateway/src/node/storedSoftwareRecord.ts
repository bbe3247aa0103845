/** The record of one service's software in the store, and what this instance may change in it. */

import type { ServiceName, SoftwareListing, SoftwareRecord } from '@flamingocourse/core';
import type { Collection, PlatformError } from '@flamingocourse/store';
import type { GatewayContext } from '../types/context.js';
import {
  SOFTWARE_REMEMBERED_MS,
  recordedState,
  withEnding,
  withServing,
  withoutVersion,
} from '@flamingocourse/core';
import { SharedReads } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { softwareRecordSchema } from '../utils/softwareRecordSchema.js';
import { storedName } from '../utils/storedName.js';
import { StoredObject } from './storedObject.js';

/** One object per service, with the name of {@link storedName}. */
const recordCollection: Collection<SoftwareRecord> = {
  name: 'fleet-software',
  schema: softwareRecordSchema,
};

/** Milliseconds between the turns of two instances to remove a version. */
const TURN_MS = 10_000;
/** Milliseconds after which a removal that failed is tried again. */
const RETRY_MS = 5_000;
/**
 * Milliseconds by which the list must have been confirmed later than the removal of a version was
 * announced. They cover what is gathered and relayed before it is applied.
 */
const LIST_DELAY_MS = 5_000;

/** A recorded version that the list does not show. */
interface MissedVersion {
  since: number;
  /** When this instance next tries to remove it; undefined until its turn is known. */
  dueAt?: number;
  /** Version of the stored object that announces the removal, and since when it is known. */
  announced?: { version: string | undefined; at: number };
}

/**
 * Record of one service.
 *
 * A version is recorded before a stream begins at it, and removed in two steps long after the list last
 * showed it. So whatever write is late or lost, a new process refuses streams rather than joins them.
 *
 * @example
 * const record = new StoredSoftwareRecord(context, 'llm');
 * const recorded = await record.save(context.software.recorded.unrecorded('llm'));
 */
export class StoredSoftwareRecord {
  readonly #context: GatewayContext;
  readonly #service: ServiceName;
  readonly #object: StoredObject<SoftwareRecord>;
  readonly #reads = new SharedReads(() => this.#read());
  readonly #missed = new Map<string, MissedVersion>();

  constructor(context: GatewayContext, service: ServiceName) {
    this.#context = context;
    this.#service = service;
    const none = (): SoftwareRecord => ({ service, versions: [] });
    this.#object = new StoredObject(context.store, recordCollection, storedName(service), none);
  }

  /** Records versions that are listed. Afterwards streams may begin at those that are listed still. */
  async save(listings: readonly SoftwareListing[]): Promise<Result<'saved', string>> {
    const versions = listings.map(({ version }) => version);
    const read = await this.#read();
    if (read.isErr) return Result.err(read.error.message);
    const changed = await this.#object.change((seen) => withServing(seen, versions), this.#now());
    if (changed.isErr) return Result.err(changed.error.message);
    if (changed.value === 'busy') return Result.err('other instances changed it at the same time');
    this.updateMissed();
    for (const listing of listings) listing.isRecorded = true;
    this.#log('software-recorded');
    return Result.ok('saved');
  }

  /** Reads the record anew, in a read that begins after this call. Returns whether the store answered. */
  async refresh(): Promise<boolean> {
    return (await this.#reads.read()).isOk;
  }

  /** Notes which recorded versions the list does not show, from now on or no longer. */
  updateMissed(): void {
    const now = this.#now();
    const recorded = (this.#object.value?.versions ?? []).map(({ version }) => version);
    for (const version of recorded) {
      if (this.#isListed(version)) this.#missed.delete(version);
      else if (!this.#missed.has(version)) this.#addMissed(version, now);
    }
  }

  /**
   * Tries to remove versions whose streams are long over.
   *
   * @param turn number of instances that try it before this one; called when it is needed.
   * @param listConfirmedAt when the list was last confirmed.
   */
  async retire(turn: () => number, listConfirmedAt: number): Promise<void> {
    const now = this.#now();
    for (const [version, missed] of this.#missed) {
      if (now - missed.since < SOFTWARE_REMEMBERED_MS) continue;
      missed.dueAt ??= missed.since + SOFTWARE_REMEMBERED_MS + turn() * TURN_MS;
      if (now >= missed.dueAt) await this.#retireOne(version, missed, listConfirmedAt);
    }
  }

  /** Reads the record, and notes the versions that it holds and the list does not show. */
  async #read(): Promise<Result<SoftwareRecord, PlatformError>> {
    const read = await this.#object.read(this.#now());
    if (read.isOk) this.updateMissed();
    return read;
  }

  async #retireOne(version: string, missed: MissedVersion, listConfirmedAt: number): Promise<void> {
    const { announced } = missed;
    const holds = announced !== undefined && announced.version === this.#object.version;
    if (holds && listConfirmedAt < announced.at + LIST_DELAY_MS) return;
    const done = holds ? await this.#remove(version) : await this.#announce(version, missed);
    if (done.isOk) return;
    missed.dueAt = this.#now() + RETRY_MS;
    this.#log('software-unrecorded', { reason: done.error.message });
  }

  /** Announces the removal. A copy that is seconds old will do, as the write is conditional. */
  async #announce(version: string, missed: MissedVersion): Promise<Result<unknown, PlatformError>> {
    const read = await this.#object.read(this.#now(), { stale: true });
    if (read.isErr) return read;
    const changed = await this.#object.change((seen) => {
      return this.#isListed(version) ? seen : withEnding(seen, version);
    }, this.#now());
    const { value } = this.#object;
    if (changed.isErr || !value) return changed;
    const state = recordedState(value, version);
    if (state === undefined) this.#missed.delete(version);
    if (state === 'ending') missed.announced = { version: this.#object.version, at: this.#now() };
    return changed;
  }

  /** Removes the version unless the object has changed since the removal was announced. */
  async #remove(version: string): Promise<Result<unknown, PlatformError>> {
    const { value } = this.#object;
    if (!value || this.#isListed(version)) return Result.ok(undefined);
    const written = await this.#object.update(withoutVersion(value, version), this.#now());
    if (written.isErr || written.value === 'conflict') return written;
    this.#missed.delete(version);
    this.#log('software-retired', { version });
    return written;
  }

  /** Streams that began at it may still be taken up here, although this process never saw its servers. */
  #addMissed(version: string, now: number): void {
    this.#missed.set(version, { since: now });
    this.#context.software.seen.observe(this.#service, version, now);
  }

  #isListed(version: string): boolean {
    return this.#context.software.recorded.isListed(this.#service, version);
  }

  #log(
    event: 'software-recorded' | 'software-unrecorded' | 'software-retired',
    fields: Record<string, string> = {},
  ): void {
    const versions = this.#object.value?.versions.map(({ version, state }) => {
      return state === 'serving' ? version : `${version} (${state})`;
    });
    this.#context.log.write(event, {
      service: this.#service,
      ...fields,
      versions: versions?.join(' '),
    });
  }

  #now(): number {
    return this.#context.clock.now();
  }
}
