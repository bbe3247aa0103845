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
import { setTimeout as delay } from 'node:timers/promises';
import { ANY_SOFTWARE, StreamHolders, StreamRecords } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { isStream } from '../runtime/retryPolicy.js';
import { streamKey } from '../runtime/streamKey.js';
import { cannotResume } from './entryRefusals.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { ServerDirectory } from './serverDirectory.js';
import { SoftwareRecords } from './softwareRecords.js';
import { StreamRecordSender } from './streamRecordSender.js';

/** Instances that get the record of a stream. */
const COPIES = 2;
/** Instances of this data centre, and other data centres, that are asked for a stream. */
const ASKED_NEAR = 2;
const ASKED_FAR = 3;
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
    if (this.#shared.has(service.name) || servicesOf(route).length > 1) this.#send(record, COPIES);
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
    if (own.type !== 'unknown' || key === undefined) {
      return toStart(question, own, { source: own.type === 'unknown' ? 'nobody' : 'own' });
    }
    const askedAt = this.#now();
    const found = await this.#ask(key, servicesOf(route));
    const askedMs = Math.round(this.#now() - askedAt);
    const source = found.type === 'unknown' ? 'nobody' : 'peer';
    return toStart(question, found, { source, askedMs });
  }

  /** Keeps records of another instance. */
  keep(streams: readonly StreamRecord[]): void {
    const now = this.#now();
    for (const record of streams) {
      this.#records.add(record, 'peer', now);
      this.#context.software.seen.observe(record.origin.service, record.origin.version, now);
    }
  }

  /** Answers another instance. */
  answer(key: StreamKey, services: readonly ServiceName[]): StreamAnswer {
    const { seen } = this.#context.software;
    const now = this.#now();
    const software = services.map((name) => [name, seen.versionsOf(name, now)] as const);
    return { knowledge: this.#records.find(key, now), software: Object.fromEntries(software) };
  }

  /** Asks all holders at once; the first that knows the stream decides, the others only if none does. */
  async #ask(key: StreamKey, services: ServiceName[]): Promise<StreamKnowledge> {
    const peers = this.#holders.toAsk(key, ASKED_NEAR, ASKED_FAR);
    const answers = peers.map((peer) => this.#askPeer(peer, key, services));
    const none: StreamKnowledge = { type: 'unknown' };
    const known = answers.map(async (answer) => {
      const knowledge = await answer;
      if (knowledge.type === 'unknown') throw new UnknownStream();
      return knowledge;
    });
    return Promise.any(known).catch(() => none);
  }

  async #askPeer(
    peer: FleetInstance,
    key: StreamKey,
    services: ServiceName[],
  ): Promise<StreamKnowledge> {
    const answer = await this.#calls.find(peer, key, services);
    // without an answer the stream stays unknown, which the log line of the request tells.
    if (answer.isErr) return { type: 'unknown' };
    const { knowledge, software } = answer.value;
    const now = this.#now();
    for (const [service, versions] of Object.entries(software)) {
      for (const version of versions) this.#context.software.seen.observe(service, version, now);
    }
    return knowledge;
  }

  #find(key: StreamKey | undefined): StreamKnowledge {
    return key === undefined ? { type: 'unknown' } : this.#records.find(key, this.#now());
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

/** An instance does not know a stream; ends only its own question. */
class UnknownStream extends Error {}

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
  knowledge: StreamKnowledge,
  from: Pick<StreamStart, 'source' | 'askedMs'>,
): Result<StreamStart, Refusal> {
  const services = servicesOf(route);
  switch (knowledge.type) {
    case 'known': {
      const { service, version } = knowledge.origin;
      if (!services.includes(service)) return Result.err(cannotResume('its route has changed'));
      return Result.ok({ software: { type: 'version', version }, service, ...from });
    }
    case 'ambiguous':
      return Result.err(cannotResume('its id was used for several streams'));
    case 'unknown':
      // a caller without an event may begin anywhere.
      if (head.resumeAfter === undefined) return Result.ok({ ...startOn(route), ...from });
      if (services.length > 1) return Result.err(cannotResume('no instance knows it'));
      return Result.ok({ software: { type: 'unknown' }, ...from });
  }
}
