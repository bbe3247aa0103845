/**
 * Knows what began the streams that callers may take up again, at this instance or at another. While
 * streams of a service may have begun at different software versions, two other instances get a record of each
 * stream, so that it can go on after its own instance was stopped, killed or cut off.
 */

import type {
  FleetInstance,
  Refusal,
  Route,
  RoutedAccount,
  ServiceName,
  StreamAnswer,
  StreamKey,
  StreamKnowledge,
  StreamRecord,
} from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { CallHead } from '../types/call.js';
import type { GatewayContext } from '../types/context.js';
import type { RoutedCall } from '../types/requestRun.js';
import type { StreamCalls } from '../types/streamCalls.js';
import type { StreamStart } from '../types/streamStart.js';
import type { StreamFinding } from './streamInquiry.js';
import { setTimeout as delay } from 'node:timers/promises';
import {
  ANY_SOFTWARE,
  StreamHolders,
  StreamRecords,
  UNCERTAIN_VERSION,
} from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { isStream } from '../runtime/retryPolicy.js';
import { streamKey } from '../runtime/streamKey.js';
import { cannotResume } from './entryRefusals.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { ServerDirectory } from './serverDirectory.js';
import { SoftwareRecords } from './softwareRecords.js';
import { NOBODY_KNOWS, StreamInquiry } from './streamInquiry.js';
import { StreamRecordSender } from './streamRecordSender.js';

/** Instances that get the record of a stream. */
const COPIES = 2;
/** Maximum milliseconds for which a stopping instance waits for answers. */
const FLUSH_MS = 150;
/** Milliseconds for which a caller waits that does not say how long. */
const DEFAULT_WAIT_MS = 30_000;

const ANYWHERE: StreamStart = { software: ANY_SOFTWARE };
const BEGINS: StreamStart = { software: { type: 'begins' } };

/** A request that may take up a stream. */
export interface StreamQuestion {
  head: CallHead;
  route: Route;
  account: RoutedAccount | undefined;
}

/** Service that knows what began streams. Registered as `streams`. */
export class StreamOrigins extends Service {
  override readonly name = 'streams';
  override readonly dependsOn = ['directory', 'instances', 'software'];
  readonly #context: GatewayContext;
  readonly #calls: StreamCalls;
  readonly #records = new StreamRecords();
  readonly #sender: StreamRecordSender;
  /** Services whose streams are recorded at other instances. */
  readonly #shared = new Set<ServiceName>();
  #holders: StreamHolders;
  #software: SoftwareRecords | undefined;

  constructor(context: GatewayContext, calls: StreamCalls) {
    super();
    this.#context = context;
    this.#calls = calls;
    this.#sender = new StreamRecordSender(context, calls);
    this.#holders = new StreamHolders([], this.#self);
  }

  /** Number of streams that this instance knows of. */
  get size(): number {
    return this.#records.size;
  }

  override start(kernel: Kernel): void {
    this.#software = kernel.get('software', SoftwareRecords);
    const instances = kernel.get('instances', InstanceDirectory);
    instances.onChange(() => {
      this.#holders = new StreamHolders(instances.all, this.#self);
    });
    kernel.get('directory', ServerDirectory).onChange((servers) => {
      const services = new Set(servers.map(({ service }) => service));
      for (const service of services) this.#updateShared(service);
    });
  }

  /** Hands over what this instance holds for others; one more instance has it afterwards. */
  beginStop(): void {
    for (const record of this.#records.from('peer', this.#now())) this.#send(record, 1);
  }

  /** Waits until other instances have what was sent to them, but not for those that do not answer. */
  override async stop(): Promise<void> {
    await Promise.race([this.#sender.flush(), delay(FLUSH_MS, undefined, { ref: false })]);
  }

  /** Records that the caller of a request has an event of its stream, and what made the event. */
  record({ head, account, route, service }: RoutedCall, version: string): void {
    const origin = { service: service.name, version };
    const forMs = Math.max(head.waitMs ?? DEFAULT_WAIT_MS, route.timeoutMs);
    const record = { key: streamKey(account, head.resumes ?? head.id), origin, forMs };
    this.#records.add(record, 'own', this.#now());
    this.#updateShared(service.name);
    const isMixed = this.#shared.has(service.name) || servicesOf(route).length > 1;
    // an instance that does not know it would let it go on at the only version of the list.
    if (isMixed || version === UNCERTAIN_VERSION) this.#send(record, COPIES);
  }

  /** Decides where a request may begin or go on with its stream. The refusal says that nothing ran. */
  async resolve(question: StreamQuestion): Promise<Result<StreamStart, Refusal>> {
    const { head, route, account } = question;
    const { resumes, resumeAfter } = head;
    const takesUp = resumes !== undefined || resumeAfter !== undefined;
    if (route.repetition === 'resumable-stream') await this.#software?.settled(servicesOf(route));
    if (!isStream(route.repetition) || !takesUp) return Result.ok(startOn(route));
    const key = resumes === undefined ? undefined : streamKey(account, resumes);
    const own = this.#find(key);
    if (own.type !== 'unknown') return toStart(question, own, { source: 'own' });
    return this.#resolveElsewhere(question, key);
  }

  /** Decides by what other instances and the store know now. */
  async #resolveElsewhere(
    question: StreamQuestion,
    key: StreamKey | undefined,
  ): Promise<Result<StreamStart, Refusal>> {
    const askedAt = this.#now();
    const finding = await this.#findElsewhere(question, key);
    const source = finding.type === 'known' || finding.type === 'ambiguous' ? 'peer' : 'nobody';
    return toStart(question, finding, { source, askedMs: Math.round(this.#now() - askedAt) });
  }

  /**
   * Asks the instances that may know a stream. If none does, the stream can have begun only at versions
   * that the store records now, or that a fleet within reach has seen. What this instance last read of them
   * proves nothing, because it may be cut off, alone or with the instances that answer it.
   */
  async #findElsewhere(
    { head, route }: StreamQuestion,
    key: StreamKey | undefined,
  ): Promise<StreamFinding> {
    const services = servicesOf(route);
    const inquiry = key === undefined ? undefined : this.#inquiry({ key, services });
    const only = head.resumeAfter === undefined ? undefined : this.#onlyService(route);
    const read = only === undefined ? undefined : this.#software?.refresh(only);
    // it may fail before it is awaited, or is not awaited.
    this.#context.background.run(this.name, () => read);
    const knowledge = (await inquiry?.ask()) ?? NOBODY_KNOWS;
    if (knowledge.type !== 'unknown' || only === undefined) return knowledge;
    if (await read) return knowledge;
    return (await inquiry?.askOthers()) ?? { type: 'unreached' };
  }

  /** Keeps records of another instance. */
  keep(streams: readonly StreamRecord[]): void {
    const now = this.#now();
    for (const record of streams) {
      this.#records.add(record, 'peer', now);
      const { service, version } = record.origin;
      if (version !== UNCERTAIN_VERSION) this.#context.software.seen.observe(service, version, now);
    }
  }

  /** Answers another instance. */
  answer(key: StreamKey, services: readonly ServiceName[]): StreamAnswer {
    const { seen } = this.#context.software;
    const now = this.#now();
    const software = services.map((name) => [name, seen.versionsOf(name, now)] as const);
    return { knowledge: this.#records.find(key, now), software: Object.fromEntries(software) };
  }

  #inquiry(stream: { key: StreamKey; services: ServiceName[] }): StreamInquiry {
    return new StreamInquiry(this.#context, this.#calls, this.#holders, stream);
  }

  /** The service at which an unknown stream may go on; undefined if it may have begun at two versions. */
  #onlyService(route: Route): ServiceName | undefined {
    const [service, ...others] = servicesOf(route);
    if (route.repetition !== 'resumable-stream' || service === undefined) return undefined;
    const isMixed = this.#context.software.seen.versionsOf(service, this.#now()).length > 1;
    return isMixed || others.length > 0 ? undefined : service;
  }

  #find(key: StreamKey | undefined): StreamKnowledge {
    return key === undefined ? NOBODY_KNOWS : this.#records.find(key, this.#now());
  }

  /** Tells other instances of all streams of a service once a second version of its software is seen. */
  #updateShared(service: ServiceName): void {
    const now = this.#now();
    const isMixed = this.#context.software.seen.versionsOf(service, now).length > 1;
    if (isMixed === this.#shared.has(service)) return;
    if (!isMixed) {
      this.#shared.delete(service);
      return;
    }
    this.#shared.add(service);
    const own = this.#records.from('own', now);
    for (const record of own) if (record.origin.service === service) this.#send(record, COPIES);
  }

  #send(record: StreamRecord, copies: number): void {
    this.#sender.send(record, this.#holders.toRecord(record.key), copies);
  }

  get #self(): Pick<FleetInstance, 'name' | 'dataCentre'> {
    const { instance: name, dataCentre } = this.#context.settings;
    return { name, dataCentre };
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

/** Services that a route leads to. */
function servicesOf({ targets }: Route): ServiceName[] {
  const used = targets.filter(({ weight }) => weight > 0).map(({ service }) => service);
  return [...new Set(used)];
}

/** Where a request begins that has no event yet. */
function startOn({ repetition }: Route): StreamStart {
  return repetition === 'resumable-stream' ? BEGINS : ANYWHERE;
}

function toStart(
  { head, route }: StreamQuestion,
  finding: StreamFinding,
  from: Pick<StreamStart, 'source' | 'askedMs'>,
): Result<StreamStart, Refusal> {
  const services = servicesOf(route);
  switch (finding.type) {
    case 'known': {
      const { service, version } = finding.origin;
      if (!services.includes(service)) return Result.err(cannotResume('its route has changed'));
      return Result.ok({ software: { type: 'version', version }, service, ...from });
    }
    case 'ambiguous':
      return Result.err(cannotResume('its id was used for several streams'));
    case 'unreached':
      return Result.err(cannotResume('instances that may know it do not answer'));
    case 'unknown':
      // a caller without an event may begin anywhere.
      if (head.resumeAfter === undefined) return Result.ok({ ...startOn(route), ...from });
      if (services.length > 1) return Result.err(cannotResume('no instance knows it'));
      return Result.ok({ software: { type: 'unknown' }, ...from });
  }
}
