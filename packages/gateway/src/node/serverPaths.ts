/** Paths to the backend servers: direct, or through a peer where the own link to a server is lost. */

import type { BackendServer, FleetInstance, ServerId } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { NetConnectOpts, Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { GatewayContext } from '../types/context.js';
import type { TunnelCalls } from '../types/tunnelCalls.js';
import type { Way } from '../runtime/staggeredRace.js';
import type { ProbePlan } from '../runtime/serverPath.js';
import type { ServerAgent } from './serverAgent.js';
import type { DirectoryServer } from './serverDirectory.js';
import { setTimeout as delay } from 'node:timers/promises';
import { Listeners, Service } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { mayCarry } from '../runtime/homes.js';
import { MAX_PEERS, ServerPath } from '../runtime/serverPath.js';
import { staggeredRace } from '../runtime/staggeredRace.js';
import { TunnelPeers } from '../runtime/tunnelPeers.js';
import { serverAddress } from '../utils/serverAddress.js';
import { ConfigurationWatch } from './configurationWatch.js';
import { openDirect } from './directConnection.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { answersOn } from './pathProbe.js';
import { ServerDirectory } from './serverDirectory.js';

/** Milliseconds that one way to a server has before the next one is tried beside it. */
const STAGGER_MS = 50;
/** Milliseconds between two checks for probes that are due. */
const CHECK_INTERVAL_MS = 50;
/** Maximum number of probes that are begun at a check. */
const MAX_PROBES_AT_ONCE = 16;
/** Minimum milliseconds between two times at which all other servers are probed. */
const DOUBT_INTERVAL_MS = 1_000;
/** Milliseconds after a peer's tunnel has opened or answered in which the direct path still counts. */
const DIRECT_GRACE_MS = 60;

/** It is known that a server can be reached again. */
export interface RestoredServer {
  server: DirectoryServer;
  cause: 'answered' | 'path-changed';
}

/** What peers know of a server; `refused` means that it refused one, and accepted none. */
export type PeerAnswer = 'accepted' | 'refused' | 'unknown';

/** Service that opens connections to servers. Registered as `paths`. */
export class ServerPaths extends Service {
  override readonly name = 'paths';
  override readonly dependsOn = ['configuration', 'directory', 'instances'];
  readonly #context: GatewayContext;
  readonly #agent: ServerAgent;
  readonly #calls: TunnelCalls;
  readonly #peers: TunnelPeers;
  /** Paths to all listed servers; those that were not probed for longest come first. */
  readonly #paths = new Map<ServerId, ServerPath>();
  /** Servers whose paths are or will be probed; a small part of all. */
  readonly #watched = new Set<ServerId>();
  /** Servers by `host:port`. */
  readonly #byAddress = new Map<string, DirectoryServer>();
  readonly #servers = new Map<ServerId, DirectoryServer>();
  readonly #listeners = new Listeners<RestoredServer>(this.name);
  /** Peers that carry connections. */
  readonly #carriers = new WeakMap<Duplex, FleetInstance>();
  #instances: InstanceDirectory | undefined;
  #configuration: ConfigurationWatch | undefined;
  #timer: NodeJS.Timeout | undefined;
  #doubtAgainAt = -Infinity;

  constructor(context: GatewayContext, agent: ServerAgent, calls: TunnelCalls) {
    super();
    this.#context = context;
    this.#agent = agent;
    this.#calls = calls;
    this.#peers = new TunnelPeers(context.settings.dataCentre, context.random);
  }

  /** Number of servers that are reached through a peer, and of those that are not reached. */
  get counts(): { tunnel: number; none: number } {
    const kinds = [...this.#paths.values()].map(({ kind }) => kind);
    const count = (kind: string): number => kinds.filter((each) => each === kind).length;
    return { tunnel: count('tunnel'), none: count('none') };
  }

  /** Calls `listener` when a server that did not answer can be reached again. */
  onRestored(listener: (restored: RestoredServer) => void): void {
    this.#listeners.add(listener);
  }

  override start(kernel: Kernel): void {
    this.#listeners.reportTo(kernel);
    this.#instances = kernel.get('instances', InstanceDirectory);
    this.#configuration = kernel.get('configuration', ConfigurationWatch);
    kernel.get('directory', ServerDirectory).onChange((servers) => {
      this.#applyList(servers);
    });
    this.#agent.connectBy((options) => this.connect(options));
    this.#timer = this.#context.background.every(CHECK_INTERVAL_MS, this.name, () => {
      this.#startDueProbes();
    });
  }

  override stop(): void {
    clearInterval(this.#timer);
  }

  /** Has a server probed that did not answer, unless that is under way. */
  requireProbe(id: ServerId): void {
    const path = this.#paths.get(id);
    const server = this.#servers.get(id);
    if (!path || !server || path.kind === 'none') return;
    if (path.kind === 'tunnel') this.#peers.recordDoubt();
    this.#doubt(server, path);
  }

  /** Whether new connections to a server are opened through a peer. */
  isTunnelled({ id }: Pick<DirectoryServer, 'id'>): boolean {
    return this.#paths.get(id)?.kind === 'tunnel';
  }

  /**
   * Asks peers whether a server accepts their connections. A peer that can't connect may be behind
   * the same partition, so the next one is asked as well.
   */
  async askPeers(server: Pick<DirectoryServer, 'id' | 'dataCentre'>): Promise<PeerAnswer> {
    let answer: PeerAnswer = 'unknown';
    for (const peer of this.#peersInOrder(server).slice(0, MAX_PEERS - 1)) {
      const opened = await this.#calls.open(peer, server.id);
      if (opened.isOk) {
        opened.value.destroy();
        return 'accepted';
      }
      if (opened.error === 'server-refused') answer = 'refused';
    }
    return answer;
  }

  /** Opens a connection by the path that is known to work, and by the others if it does not. */
  async connect(options: NetConnectOpts): Promise<Result<Socket, NodeJS.ErrnoException>> {
    const { host = '', port = 0 } = options as { host?: string; port?: number };
    const server = this.#byAddress.get(`${host}:${String(port)}`);
    const { connectMs } = this.#context.settings.servers;
    if (!server) return openDirect(options, connectMs);
    const path = this.#pathOf(server.id);
    let directError: NodeJS.ErrnoException | undefined;
    const direct: Way<Socket> = async () => {
      const opened = await openDirect(options, connectMs);
      if (opened.isErr) directError = opened.error;
      return opened.mapErr(({ message }) => message);
    };
    const tunnels = this.#waysThroughPeers(server, (peer) => this.#openTunnel(peer, server));
    const isDirect = path.kind !== 'tunnel';
    const ways = isDirect ? [direct, ...tunnels] : [...tunnels.slice(0, 2), direct];
    const onUnused = (socket: Socket): void => {
      socket.destroy();
    };
    const firstGraceMs = isDirect ? DIRECT_GRACE_MS : 0;
    const won = await staggeredRace(ways, { staggerMs: STAGGER_MS, firstGraceMs, onUnused });
    if (won.isErr) return Result.err(directError ?? new Error(won.error));
    const { value: socket, way } = won.value;
    if (socket.destroyed) return Result.err(new Error('the tunnel was closed'));
    if (isDirect && way > 0) this.#recordTunnelOnly(server, path);
    return Result.ok(socket);
  }

  /** Name of the peer that carries a connection; undefined if it is direct. */
  carrierOf(connection: Duplex): string | undefined {
    return this.#carriers.get(connection)?.name;
  }

  /** Opens a connection to a server by the path of another one; undefined if that fails. */
  async connectBeside(connection: Duplex, { id, url }: BackendServer): Promise<Socket | undefined> {
    const peer = this.#carriers.get(connection);
    const { connectMs } = this.#context.settings.servers;
    const opened = peer
      ? await this.#calls.open(peer, id)
      : await openDirect(serverAddress(url), connectMs);
    if (opened.isErr) return undefined;
    // each error is followed by `close`.
    return opened.value.on('error', () => undefined).resume();
  }

  /** Ways through different peers; the peers are chosen when the first of them is needed. */
  #waysThroughPeers<T>(
    server: DirectoryServer,
    use: (peer: FleetInstance) => Promise<Result<T, string>>,
  ): Way<T>[] {
    let peers: FleetInstance[] | undefined;
    return Array.from({ length: MAX_PEERS }, (_, index) => () => {
      peers ??= this.#peersInOrder(server);
      const peer = peers[index];
      return peer ? use(peer) : Promise.resolve(Result.err('no further peer'));
    });
  }

  async #openTunnel(peer: FleetInstance, { id }: DirectoryServer): Promise<Result<Socket, string>> {
    const opened = await this.#calls.open(peer, id);
    if (opened.isErr) this.#peers.recordFailure(peer.name, this.#now());
    else this.#carriers.set(opened.value, peer);
    return opened.mapErr((fault) => `${peer.name}: ${fault}`);
  }

  /** Peers that may carry requests to a server. */
  #peersInOrder({ dataCentre }: Pick<DirectoryServer, 'dataCentre'>): FleetInstance[] {
    const { instance, regions } = this.#context.settings;
    const all = this.#instances?.all ?? [];
    const others = all.filter((peer) => {
      return peer.name !== instance && mayCarry(peer.dataCentre, dataCentre, regions);
    });
    return this.#peers.inOrder(others, this.#now());
  }

  #startDueProbes(): void {
    const now = this.#now();
    let begun = 0;
    for (const id of this.#watched) {
      const path = this.#paths.get(id);
      const server = this.#servers.get(id);
      if (!path?.needsProbes || !server) this.#watched.delete(id);
      else if (path.isProbeDue(now) && begun < MAX_PROBES_AT_ONCE) {
        begun += 1;
        // to the end, so that no server waits for others to be probed twice.
        this.#watched.delete(id);
        this.#watched.add(id);
        const plan = path.recordProbeStart();
        this.#context.background.run(this.name, () => this.#probe(server, path, plan));
      }
    }
  }

  /** Has a server probed; what lies idle on its present path may be dead. */
  #doubt(server: DirectoryServer, path: ServerPath): void {
    path.recordDoubt(this.#now());
    this.#watched.add(server.id);
    this.#agent.closeIdle(server.url);
  }

  /**
   * Asks a server on both paths at the same time. A busy server is slow on both, so the direct path
   * counts as lost only if the answer through a peer came first by some margin.
   */
  async #probe(server: DirectoryServer, path: ServerPath, plan: ProbePlan): Promise<void> {
    const target = this.#takeHealthPath(server);
    const direct = this.#probeDirect(server, target);
    const isTunnelKnown = path.kind === 'tunnel' && !plan.isDoubted;
    const tunnel = isTunnelKnown
      ? Promise.resolve(true)
      : this.#probeTunnel(server, target, plan.peers);
    const answersDirectly = isTunnelKnown
      ? await direct
      : await Promise.race([
          direct,
          tunnel.then((works) => (works ? delay(DIRECT_GRACE_MS, false) : direct)),
        ]);
    const outcome = answersDirectly ? { direct: true } : { direct: false, tunnel: await tunnel };
    this.#applyProbe(server, path, outcome, answersDirectly || !isTunnelKnown);
  }

  /**
   * Returns the path of the health check; undefined if the server has none, or if nothing may be sent
   * to it now. A connection that opens has to do then.
   */
  #takeHealthPath(server: DirectoryServer): string | undefined {
    const { rules } = this.#context;
    const now = this.#now();
    if (rules.nextAt(server, now) > now) return undefined;
    rules.recordSent(server, now);
    return this.#configuration?.table?.service(server.service)?.healthPath;
  }

  async #probeDirect(server: DirectoryServer, target: string | undefined): Promise<boolean> {
    const { connectMs } = this.#context.settings.servers;
    const opened = await openDirect(serverAddress(server.url), connectMs);
    return opened.isOk && this.#answers(opened.value, server, target);
  }

  /** Probes through several peers, because one may have lost its link to the server as well. */
  async #probeTunnel(
    server: DirectoryServer,
    target: string | undefined,
    peers: readonly number[],
  ): Promise<boolean> {
    const ways = this.#waysThroughPeers(server, (peer) => {
      return this.#probeThrough(peer, server, target);
    });
    const used = ways.filter((_, place) => peers.includes(place));
    const won = await staggeredRace(used, { staggerMs: STAGGER_MS, onUnused: () => undefined });
    return won.isOk;
  }

  async #probeThrough(
    peer: FleetInstance,
    server: DirectoryServer,
    target: string | undefined,
  ): Promise<Result<true, string>> {
    const opened = await this.#openTunnel(peer, server);
    if (opened.isErr) return Result.err(opened.error);
    if (await this.#answers(opened.value, server, target)) {
      this.#peers.recordProven(peer.name);
      return Result.ok(true);
    }
    this.#peers.recordFailure(peer.name, this.#now());
    return Result.err('the server did not answer');
  }

  async #answers(
    socket: Socket,
    server: DirectoryServer,
    target: string | undefined,
  ): Promise<boolean> {
    if (target !== undefined) return answersOn(socket, this.#context, server, target);
    socket.destroy();
    return true;
  }

  /** @param wasAsked Whether the server was asked on the path that the outcome names. */
  #applyProbe(
    server: DirectoryServer,
    path: ServerPath,
    outcome: { direct: boolean; tunnel?: boolean },
    wasAsked: boolean,
  ): void {
    // the server may have left or started again meanwhile.
    if (this.#paths.get(server.id) !== path) return;
    const before = path.kind;
    const hasChanged = path.recordProbe(outcome, this.#now());
    if (hasChanged) this.#recordChange(server, path, before, 'probe');
    else if (path.kind !== 'none' && wasAsked) this.#publish(server, 'answered');
    if (path.kind === 'tunnel' && wasAsked) this.#doubtOthers();
  }

  #recordTunnelOnly(server: DirectoryServer, path: ServerPath): void {
    if (this.#paths.get(server.id) !== path) return;
    const before = path.kind;
    if (!path.recordTunnelOnly(this.#now())) return;
    this.#recordChange(server, path, before, 'connection');
    // a single lost packet would look the same, so the server is asked.
    this.#doubt(server, path);
  }

  #recordChange(
    server: DirectoryServer,
    path: ServerPath,
    from: string,
    cause: 'probe' | 'connection',
  ): void {
    const { kind: to } = path;
    const fields = { server: server.id, service: server.service, from, to, cause };
    this.#watched.add(server.id);
    this.#context.log.write('server-path-changed', { ...fields, ...this.counts });
    this.#agent.closeIdle(server.url);
    if (to !== 'none') this.#publish(server, 'path-changed');
  }

  /**
   * A server that only peers reach shows that this instance has lost links, possibly those to other
   * servers as well. Their idle connections may be dead, so requests must not be sent on them.
   */
  #doubtOthers(): void {
    const now = this.#now();
    if (now < this.#doubtAgainAt) return;
    this.#doubtAgainAt = now + DOUBT_INTERVAL_MS;
    for (const server of this.#servers.values()) {
      const path = this.#pathOf(server.id);
      if (path.kind === 'direct') this.#doubt(server, path);
    }
  }

  #publish(server: DirectoryServer, cause: RestoredServer['cause']): void {
    this.#listeners.notify({ server, cause });
  }

  #applyList(servers: readonly DirectoryServer[]): void {
    for (const server of servers) {
      const known = this.#servers.get(server.id);
      // what is known of the links to an earlier process says nothing about this one.
      if (known && !isSameProcess(known, server)) this.#paths.delete(server.id);
    }
    const hasLostLinks = this.counts.tunnel > 0;
    this.#byAddress.clear();
    this.#servers.clear();
    for (const server of servers) {
      const { host, port } = serverAddress(server.url);
      this.#byAddress.set(`${host}:${String(port)}`, server);
      this.#servers.set(server.id, server);
      const isNew = !this.#paths.has(server.id);
      const path = this.#pathOf(server.id);
      // the link to it may be lost as well.
      if (isNew && hasLostLinks) this.#doubt(server, path);
    }
    for (const id of this.#paths.keys()) if (!this.#servers.has(id)) this.#paths.delete(id);
  }

  #pathOf(id: ServerId): ServerPath {
    const known = this.#paths.get(id);
    if (known) return known;
    const path = new ServerPath(this.#context.random);
    this.#paths.set(id, path);
    return path;
  }

  #now(): number {
    return this.#context.clock.now();
  }
}

function isSameProcess(known: DirectoryServer, server: DirectoryServer): boolean {
  return known.url === server.url && known.bornAt === server.bornAt;
}
