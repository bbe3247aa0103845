/**
 * Membership of the fleet. Routers exchange heartbeats over the mesh; addresses come from the seeds
 * and the instance list.
 */

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

/** Name under which the platform's instance list contains the routers. */
export const routerInstanceList = 'flamingocourse-router';

const incarnationBytes = 6;
/** Most own incarnations kept, so that calls to an earlier one still reach this process. */
const maxOwnIncarnations = 64;
/** Milliseconds between reads of the instance list. */
const instanceListMs = 5_000;

/** Milliseconds from a revision change to the additional beat, so that frequent changes share one. */
const revisionBeatDelayMs = 100;

/** Options of {@link FleetService}. */
export interface FleetServiceOptions {
  context: RouterContext;
  mesh: MeshClient;
  store: ObjectStore;
}

/**
 * Service `fleet`. Its start sends one round of heartbeats, seeds included, and waits for the
 * answers, so that a restarted router learns the state of its peers before it serves.
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
  /** Addresses with a heartbeat in flight; regular beats send no second one to them. */
  readonly #inFlight = new Set<string>();
  /** Wakes the loop before its next beat; closed when the service stops. */
  readonly #wakeUps = new Channel<true>(1, 'drop-newest');
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
    server.setIncarnationCheck((incarnation) => this.#ownIncarnations.includes(incarnation));
    server.handle('heartbeat', (message) => {
      this.#table.observe(unpackHeartbeat(message), this.#now());
      return Result.ok(packHeartbeat(this.#table.compose(this.#now())));
    });
    // With port 0 the system chooses the port, so the address is known only after the listen call.
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
    this.#wakeUps.close();
    await this.#loop;
    // A final heartbeat lets peers take over this router's duties immediately, without a timeout.
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

  /** Sets the revision and triggers an additional beat to peers that have an older one. */
  override setRevision(revision: number): void {
    this.#table.updateSelf({ revision });
    this.#wakeUps.offer(true);
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
    while (!this.#wakeUps.closed) {
      if (this.#now() >= beatAt) {
        const recent = this.#table.recentlyExchanged(heartbeatMs, this.#now());
        this.#beat((url) => !recent.has(url));
        beatAt = this.#now() + heartbeatMs;
      }
      const waited = yield* takeWithin(this.#wakeUps, beatAt - this.#now());
      if (waited.type !== 'value') continue;
      yield* sleep(revisionBeatDelayMs);
      this.#beat((url) => this.#hasOlderRevision(url));
    }
  }

  #beat(isWanted: (meshUrl: string) => boolean): void {
    this.#table.tick(this.#now());
    const { background } = this.#context;
    background.run(this.name, () => {
      return this.#sendHeartbeats((url) => isWanted(url) && !this.#inFlight.has(url));
    });
    if (this.#mayReadInstances()) background.run(this.name, () => this.#readInstances());
    this.#reportChanges();
  }

  /** Whether the router at an address has an older configuration, by its last known heartbeat. */
  #hasOlderRevision(meshUrl: string): boolean {
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
    this.#inFlight.add(meshUrl);
    const timeoutMs = this.#context.settings.mesh.suspectMs / 2;
    const answer = await this.#mesh.call({ meshUrl }, 'heartbeat', message, { timeoutMs });
    this.#inFlight.delete(meshUrl);
    if (answer.isOk) this.#table.observe(unpackHeartbeat(answer.value), this.#now());
  }

  /**
   * Whether this router reads the instance list now. The platform counts each call, so one router
   * reads the list for its data centre and the others learn of new routers from heartbeats. A router
   * without a live peer in its data centre reads the list itself.
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
    const suffix = randomBytes(incarnationBytes).toString('hex');
    const incarnation = `${dataCentre}/${instance}/${suffix}`;
    this.#ownIncarnations.push(incarnation);
    if (this.#ownIncarnations.length > maxOwnIncarnations) this.#ownIncarnations.shift();
    return incarnation;
  }

  #now(): EpochMs {
    return this.#context.clock.now();
  }
}
