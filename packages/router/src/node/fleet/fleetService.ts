/** Membership of the fleet: heartbeats over the mesh, addresses from seeds and the instance list. */

import type { EpochMs, IncarnationId, MemberInfo, PeerHealth } from '@flamingocourse/core';
import type { Kernel, Steps } from '@flamingocourse/kernel';
import type { MeshClient, PackedHeartbeat } from '@flamingocourse/mesh';
import type { ObjectStore } from '@flamingocourse/store';
import type { Peer } from '../../types/fleet.js';
import type { RouterContext } from '../../types/routerContext.js';
import { randomBytes } from 'node:crypto';
import { Channel, sleep, startProcess, takeWithin } from '@flamingocourse/kernel';
import { MeshServer, packHeartbeat, unpackHeartbeat } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { Fleet } from '../../types/fleet.js';
import { MembershipTable } from './membershipTable.js';

/** Name of the routers' own service in the platform's instance list. */
export const routerInstanceList = 'flamingocourse-router';

const incarnationBytes = 6;
/** Own incarnations remembered, so that calls meant for an earlier one still find this process. */
const maxOwnIncarnations = 64;
/** Time between two readings of the instance list by the one router that reads it. */
const instanceListMs = 5_000;

/** Least time between two beats, however often there is news. */
const newsGapMs = 100;

/** What the fleet service is created with. */
export interface FleetServiceOptions {
  context: RouterContext;
  mesh: MeshClient;
  store: ObjectStore;
}

/**
 * Service `fleet`. After its start each reachable seed has been greeted once, so that a router that
 * restarts knows what its peers know before it serves.
 *
 * @example
 * kernel.register(new FleetService({ context, mesh: new MeshClient(), store }));
 */
export class FleetService extends Fleet {
  override readonly dependsOn = ['mesh'];
  readonly #context: RouterContext;
  readonly #mesh: MeshClient;
  readonly #store: ObjectStore;
  readonly #listeners = new Set<(peer: Peer) => void>();
  readonly #health = new Map<IncarnationId, PeerHealth>();
  readonly #ownIncarnations: IncarnationId[] = [];
  /** Addresses with a heartbeat under way; a silent one is not sent a second. */
  readonly #underWay = new Set<string>();
  /** Wakes the loop before its next beat; closed at the stop. */
  readonly #news = new Channel<true>(1, 'drop-newest');
  readonly #table: MembershipTable;
  #instancesReadAt: EpochMs = Number.NEGATIVE_INFINITY;
  #loop: Promise<void> = Promise.resolve();

  constructor(options: FleetServiceOptions) {
    super();
    this.#context = options.context;
    this.#mesh = options.mesh;
    this.#store = options.store;
    const { seeds, suspectMs, goneMs } = this.#context.settings.mesh;
    this.#table = new MembershipTable(this.#describeSelf(), { suspectMs, goneMs }, seeds);
  }

  override get self(): MemberInfo {
    return this.#table.self;
  }

  override async start(kernel: Kernel): Promise<void> {
    const server = kernel.get('mesh', MeshServer);
    server.recogniseSelf((incarnation) => this.#ownIncarnations.includes(incarnation));
    server.handle('heartbeat', (message) => {
      this.#table.observe(unpackHeartbeat(message), this.#now());
      return Result.ok(packHeartbeat(this.#table.compose(this.#now())));
    });
    // the port, and with it the address, may be known only once the listener is up.
    if (this.#context.settings.mesh.port === 0) this.#table.updateSelf({ meshUrl: server.url });
    await this.#readInstances();
    await this.#sendHeartbeats(() => true);
    this.#loop = startProcess(
      () => this.#run(),
      (err) => {
        kernel.reportFailure(err, this.name);
      },
    );
  }

  override async stop(): Promise<void> {
    this.#news.close();
    await this.#loop;
    // a last word, so that peers move this router's duties at once and not after its silence.
    this.#table.updateSelf({ state: 'leaving' });
    this.#table.tick(this.#now());
    await this.#sendHeartbeats(() => true);
  }

  override renewIncarnation(): IncarnationId {
    const incarnation = this.#newIncarnation();
    this.#table.updateSelf({ incarnation, beat: 0 });
    this.#context.log.write('incarnation-renewed', { incarnation });
    return incarnation;
  }

  override setState(state: MemberInfo['state']): void {
    this.#table.updateSelf({ state });
  }

  /** Tells peers of the own data centre at once, so that a change need not wait for the next beat. */
  override setRevision(revision: number): void {
    this.#table.updateSelf({ revision });
    this.#news.offer(true);
  }

  override peers(): Peer[] {
    return this.#table.peers(this.#now());
  }

  override localPeers(): Peer[] {
    const { dataCentre } = this.self;
    return this.peers().filter(
      ({ info, health }) => info.dataCentre === dataCentre && health === 'alive',
    );
  }

  override find(incarnation: IncarnationId): Peer | undefined {
    return this.peers().find(({ info }) => info.incarnation === incarnation);
  }

  override localOwner(key: string): MemberInfo {
    return this.#table.localOwner(key, this.#now());
  }

  override onHealthChange(listener: (peer: Peer) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  *#run(): Steps<void> {
    const { heartbeatMs } = this.#context.settings.mesh;
    let beatAt = this.#now();
    while (!this.#news.closed) {
      if (this.#now() >= beatAt) {
        const recent = this.#table.recentlyExchanged(heartbeatMs, this.#now());
        this.#beat((url) => !recent.has(url));
        beatAt = this.#now() + heartbeatMs;
      }
      const waited = yield* takeWithin(this.#news, beatAt - this.#now());
      if (waited.type !== 'value') continue;
      yield* sleep(newsGapMs);
      this.#beat((url) => this.#isBehind(url));
    }
  }

  #beat(isWanted: (meshUrl: string) => boolean): void {
    this.#table.tick(this.#now());
    void this.#sendHeartbeats((url) => isWanted(url) && !this.#underWay.has(url));
    if (this.#mayReadInstances()) void this.#readInstances();
    this.#reportChanges();
  }

  /** Whether the router at an address has an older configuration, as far as is known. */
  #isBehind(meshUrl: string): boolean {
    const { revision } = this.self;
    return this.peers().some(({ info }) => info.meshUrl === meshUrl && info.revision < revision);
  }

  async #sendHeartbeats(isWanted: (meshUrl: string) => boolean): Promise<void> {
    const now = this.#now();
    const message = packHeartbeat(this.#table.compose(now));
    const targets = this.#table.targets(now).filter(isWanted);
    await Promise.all(targets.map((meshUrl) => this.#sendHeartbeat(meshUrl, message)));
  }

  async #sendHeartbeat(meshUrl: string, message: PackedHeartbeat): Promise<void> {
    this.#underWay.add(meshUrl);
    const timeoutMs = this.#context.settings.mesh.suspectMs / 2;
    const answer = await this.#mesh.call({ meshUrl }, 'heartbeat', message, { timeoutMs });
    this.#underWay.delete(meshUrl);
    if (answer.isOk) this.#table.observe(unpackHeartbeat(answer.value), this.#now());
  }

  /**
   * The platform counts each call, so a router reads the list for its whole data centre; the others
   * learn of new routers by heartbeat. A router that hears nobody reads it for itself.
   */
  #mayReadInstances(): boolean {
    if (this.#now() - this.#instancesReadAt < instanceListMs) return false;
    const isReader = this.localOwner('instance-list').incarnation === this.self.incarnation;
    return isReader || this.localPeers().length === 0;
  }

  async #readInstances(): Promise<void> {
    this.#instancesReadAt = this.#now();
    const records = await this.#store.listInstances(routerInstanceList);
    if (records.isOk) this.#table.observeInstances(records.value);
  }

  #reportChanges(): void {
    const peers = this.peers();
    const known = new Set(peers.map(({ info }) => info.incarnation));
    for (const incarnation of this.#health.keys()) {
      if (!known.has(incarnation)) this.#health.delete(incarnation);
    }
    for (const peer of peers) {
      const { incarnation } = peer.info;
      if (this.#health.get(incarnation) === peer.health) continue;
      this.#health.set(incarnation, peer.health);
      this.#context.log.write('peer-health-changed', { peer: incarnation, health: peer.health });
      for (const listener of this.#listeners) listener(peer);
    }
  }

  #describeSelf(): MemberInfo {
    const { dataCentre, instance, mesh, entry } = this.#context.settings;
    return {
      incarnation: this.#newIncarnation(),
      dataCentre,
      instance,
      meshUrl: mesh.publicUrl,
      entryUrl: entry.publicUrl,
      state: 'starting',
      beat: 0,
      revision: 0,
    };
  }

  #newIncarnation(): IncarnationId {
    const { dataCentre, instance } = this.#context.settings;
    const life = randomBytes(incarnationBytes).toString('hex');
    const incarnation = `${dataCentre}/${instance}/${life}`;
    this.#ownIncarnations.push(incarnation);
    if (this.#ownIncarnations.length > maxOwnIncarnations) this.#ownIncarnations.shift();
    return incarnation;
  }

  #now(): EpochMs {
    return this.#context.clock.now();
  }
}
