/**
 * Maintains the configuration in force at this router. One router of each data centre, the relay,
 * watches the platform. The others pull changes from a peer whose heartbeat shows a higher revision.
 */

import type {
  ClientAccountDeclaration,
  ConfigFinding,
  ConfigurationUpdate,
  DeclaredBody,
  DeclaredObject,
  DeploymentDeclaration,
  IncarnationId,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '@flamingocourse/core';
import type { Kernel, Steps } from '@flamingocourse/kernel';
import type { MeshClient } from '@flamingocourse/mesh';
import type {
  Collection,
  ObjectList,
  ObjectStore,
  Subscription,
  VersionedObject,
  WatchEvent,
} from '@flamingocourse/store';
import type { Peer } from '../../types/fleet.js';
import type { RouterContext } from '../../types/routerContext.js';
import type { ConfigurationView } from './configurationView.js';
import {
  createConfigStore,
  declaredBodySchema,
  hasSameObjects,
  mergeUpdate,
  missingLastGood,
  resolveEffectiveConfig,
  updateSince,
} from '@flamingocourse/core';
import { Channel, startProcess, takeWithin } from '@flamingocourse/kernel';
import { MeshServer } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { Configuration } from '../../types/configuration.js';
import { Fleet } from '../../types/fleet.js';
import { createConfigurationView } from './configurationView.js';

/** Milliseconds between checks of the peers' revisions; a check is local and sends no message. */
const checkIntervalMs = 150;
const pullTimeoutMs = 1_000;
/**
 * Most pulls at startup while a peer has a higher revision. With the timeout of a pull, this limits
 * the time to a few seconds in total.
 */
const maxStartPulls = 6;
/** Milliseconds between attempts to read the platform while no configuration is in force. */
const emptyRetryMs = 1_000;

/** Options of {@link ConfigurationService}. */
export interface ConfigurationServiceOptions {
  context: RouterContext;
  mesh: MeshClient;
  store: ObjectStore;
}

/**
 * Service `configuration`.
 *
 * @example
 * kernel.register(new ConfigurationService({ context, mesh, store }));
 */
export class ConfigurationService extends Configuration {
  override readonly dependsOn = ['mesh', 'fleet'];
  readonly #context: RouterContext;
  readonly #mesh: MeshClient;
  readonly #store: ObjectStore;
  readonly #collection: Collection<DeclaredBody>;
  readonly #listeners = new Set<() => void>();
  readonly #stopped = new Channel<true>(1);
  #fleet: Fleet | undefined;
  #known = createConfigStore();
  #view: ConfigurationView = createConfigurationView(resolveEffectiveConfig(this.#known));
  /** Details of the findings that have been logged. */
  #reported: ReadonlySet<string> = new Set();
  /** Objects without a last good version, joined by commas, and the peers already asked for it. */
  #wantedLastGood = '';
  #askedForLastGood = new Set<IncarnationId>();
  #relay: Subscription | undefined;
  #pulling = false;
  #failedPulls = 0;
  #listedAt = Number.NEGATIVE_INFINITY;
  #loop: Promise<void> = Promise.resolve();

  constructor(options: ConfigurationServiceOptions) {
    super();
    this.#context = options.context;
    this.#mesh = options.mesh;
    this.#store = options.store;
    this.#collection = { name: 'declarations', schema: declaredBodySchema };
  }

  override get revision(): number {
    return this.#known.asOf;
  }

  override get deployment(): DeploymentDeclaration {
    return this.#view.deployment;
  }

  override accountByKeyDigest(digest: string): ClientAccountDeclaration | undefined {
    return this.#view.accountsByKeyDigest.get(digest);
  }

  override account(name: string): ClientAccountDeclaration | undefined {
    return this.#view.accounts.get(name);
  }

  override accounts(): ClientAccountDeclaration[] {
    return [...this.#view.accounts.values()];
  }

  override workClass(name: string): WorkClassDeclaration | undefined {
    return this.#view.workClasses.get(name);
  }

  override workClasses(): WorkClassDeclaration[] {
    return [...this.#view.workClasses.values()];
  }

  override service(name: string): ServiceDeclaration | undefined {
    return this.#view.services.get(name);
  }

  override services(): ServiceDeclaration[] {
    return [...this.#view.services.values()];
  }

  override serviceByModel(model: string): ServiceDeclaration | undefined {
    return this.#view.servicesByModel.get(model);
  }

  override onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Reads the platform and the peer with the highest revision, so that a restarted router does not
   * serve older objects.
   */
  override async start(kernel: Kernel): Promise<void> {
    this.#fleet = kernel.get('fleet', Fleet);
    const server = kernel.get('mesh', MeshServer);
    server.handle('pullConfiguration', ({ since }) => Result.ok(updateSince(this.#known, since)));
    await Promise.all([this.#readPlatform(), this.#pullFromPeers()]);
    // The platform's list may be stale, and the peer that was pulled may lag behind another. A peer
    // that does not answer in time must not make this router start with an older configuration, so
    // it pulls again while a peer has a higher revision.
    for (let pulls = 0; pulls < maxStartPulls && this.#choosePeer(); pulls += 1) {
      await this.#pullFromPeers();
    }
    this.#loop = startProcess(
      () => this.#run(),
      (err) => {
        kernel.reportFailure(err, this.name);
      },
    );
  }

  override async stop(): Promise<void> {
    this.#stopped.close();
    this.#endRelay();
    await this.#loop;
  }

  *#run(): Steps<void> {
    while (!this.#stopped.closed) {
      this.#updateRelay();
      this.#context.background.run(this.name, () => this.#pullFromPeers());
      if (this.revision === 0 && this.#now() - this.#listedAt > emptyRetryMs) {
        this.#context.background.run(this.name, () => this.#readPlatform());
      }
      yield* takeWithin(this.#stopped, checkIntervalMs);
    }
  }

  /** Starts or stops the relay's watch when members of the data centre join or leave. */
  #updateRelay(): void {
    const fleet = this.#fleet;
    if (!fleet) return;
    const isRelay = fleet.localOwner('config-relay').incarnation === fleet.self.incarnation;
    if (isRelay === (this.#relay !== undefined)) return;
    this.#context.log.write('configuration-relay', { relay: isRelay });
    if (!isRelay) {
      this.#endRelay();
      return;
    }
    const from = this.revision === 0 ? {} : { from: String(this.revision) };
    this.#relay = this.#store.watch(this.#collection, {
      ...from,
      onEvent: (event) => {
        this.#handleEvent(event);
      },
    });
  }

  #endRelay(): void {
    this.#relay?.stop();
    this.#relay = undefined;
  }

  #handleEvent(event: WatchEvent<DeclaredBody>): void {
    switch (event.type) {
      case 'listed':
        this.#handleList(event.list);
        return;
      case 'changed': {
        const object = toDeclaredObject(event.object);
        this.#merge({ asOf: object.revision, objects: [object], complete: false });
        return;
      }
      case 'removed': {
        const revision = Number(event.version);
        const objects = [{ ...splitName(event.name), revision }];
        this.#merge({ asOf: revision, objects, complete: false });
        return;
      }
      case 'invalid':
        this.#context.log.write('declaration-unreadable', { object: event.name });
        this.#merge({ asOf: Number(event.version), objects: [], complete: false });
        return;
    }
  }

  async #readPlatform(): Promise<void> {
    this.#listedAt = this.#now();
    const list = await this.#store.list(this.#collection);
    if (list.isOk) this.#handleList(list.value);
  }

  #handleList(list: ObjectList<DeclaredBody>): void {
    const objects = list.items.map(toDeclaredObject);
    for (const name of list.invalid) {
      this.#context.log.write('declaration-unreadable', { object: name });
      // An object that cannot be read still exists, so its last good version must not be deleted.
      const lastGood = this.#known.objects.get(name);
      if (lastGood) objects.push(lastGood);
    }
    this.#merge({ asOf: Number(list.version), objects, complete: true });
  }

  async #pullFromPeers(): Promise<void> {
    const peer = this.#choosePeer() ?? this.#choosePeerForLastGood();
    if (!peer || this.#pulling) return;
    this.#pulling = true;
    const since = this.revision;
    const timeoutMs = pullTimeoutMs;
    const update = await this.#mesh.call(peer.info, 'pullConfiguration', { since }, { timeoutMs });
    this.#pulling = false;
    if (update.isErr) {
      this.#failedPulls += 1;
      this.#askedForLastGood.delete(peer.info.incarnation);
      return;
    }
    this.#failedPulls = 0;
    this.#merge(update.value);
  }

  /**
   * Chooses a peer with a higher revision, from the own data centre first. Each failed pull selects
   * the next one.
   */
  #choosePeer(): Peer | undefined {
    const fleet = this.#fleet;
    if (!fleet) return undefined;
    const { dataCentre } = fleet.self;
    const distance = ({ info }: Peer): number => (info.dataCentre === dataCentre ? 0 : 1);
    const ahead = fleet
      .peers()
      .filter(({ info, health }) => health !== 'gone' && info.revision > this.revision)
      .sort((a, b) => distance(a) - distance(b) || b.info.revision - a.info.revision);
    return ahead[this.#failedPulls % ahead.length];
  }

  /**
   * Chooses a peer to ask for the last good version of an object that is now invalid. The platform
   * stores only the newest version, so a router that started after the invalid change would refuse a
   * class that its peers still serve. Each peer is asked once, because a peer that also started later
   * does not have the version either.
   */
  #choosePeerForLastGood(): Peer | undefined {
    const missing = missingLastGood(this.#known).join();
    if (missing !== this.#wantedLastGood) this.#askedForLastGood.clear();
    this.#wantedLastGood = missing;
    if (missing === '' || this.#pulling) return undefined;
    const peers = this.#fleet?.peers() ?? [];
    const peer = peers.find(
      ({ info, health }) => health !== 'gone' && !this.#askedForLastGood.has(info.incarnation),
    );
    if (peer) this.#askedForLastGood.add(peer.info.incarnation);
    return peer;
  }

  #merge(update: ConfigurationUpdate): void {
    const before = this.#known;
    this.#known = mergeUpdate(before, update);
    if (this.#known.asOf > before.asOf) this.#fleet?.setRevision(this.revision);
    if (hasSameObjects(before, this.#known)) return;
    const config = resolveEffectiveConfig(this.#known);
    this.#view = createConfigurationView(config);
    this.#reportFindings(config.findings);
    this.#context.log.write('configuration-applied', { revision: this.revision });
    for (const listener of this.#listeners) listener();
  }

  #reportFindings(findings: readonly ConfigFinding[]): void {
    for (const { type, object, detail } of findings) {
      if (this.#reported.has(detail)) continue;
      this.#context.log.write('declaration-contained', { type, object, detail });
    }
    this.#reported = new Set(findings.map(({ detail }) => detail));
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

function toDeclaredObject({ version, value }: VersionedObject<DeclaredBody>): DeclaredObject {
  return { ...value, revision: Number(version) };
}

/** Splits the platform's name of a declared object, `{kind}.{name}`. */
function splitName(objectName: string): Pick<DeclaredObject, 'kind' | 'name'> {
  const dot = objectName.indexOf('.');
  const kind = objectName.slice(0, dot) as DeclaredObject['kind'];
  return { kind, name: objectName.slice(dot + 1) };
}
