/** HTTP listeners for the readiness check and for metrics. */

import type { ClientConnections, Kernel } from '@flamingocourse/kernel';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { ListenerName } from '../types/clientLimits.js';
import type { GatewayContext } from '../types/context.js';
import type { Listen } from '../types/gatewaySettings.js';
import type { StoreRelay } from './storeRelay.js';
import { createServer } from 'node:http';
import { Service, answerUnservable, boundedServerOptions } from '@flamingocourse/kernel';
import { BackendLanes } from './backendLanes.js';
import { boundClients } from './boundClients.js';
import { EntryService } from './entryService.js';
import { EvacuationWatch } from './evacuationWatch.js';
import { RoomService } from './roomService.js';
import { ServerDirectory } from './serverDirectory.js';
import { ServerPaths } from './serverPaths.js';
import { setSpeedMetrics } from './speedMetrics.js';
import { StreamOrigins } from './streamOrigins.js';

const MS_PER_SECOND = 1_000;
/** Milliseconds between two lines about the calls to the store. */
const STORE_CALLS_INTERVAL_MS = 15_000;

/** Path of the metrics endpoint. */
export const METRICS_PATH = '/metrics';

/** Service with the readiness and metrics listeners. Registered as `status`. */
export class StatusService extends Service {
  override readonly name = 'status';
  override readonly dependsOn = [
    'entry',
    'directory',
    'evacuations',
    'lanes',
    'paths',
    'streams',
    'room',
  ];
  readonly #context: GatewayContext;
  readonly #relay: StoreRelay;
  readonly #servers: Server[] = [];
  readonly #clients: ClientConnections[] = [];
  #entry: EntryService | undefined;
  #directory: ServerDirectory | undefined;
  #evacuations: EvacuationWatch | undefined;
  #lanes: BackendLanes | undefined;
  #paths: ServerPaths | undefined;
  #streams: StreamOrigins | undefined;
  #room: RoomService | undefined;
  #wasReady: boolean | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(context: GatewayContext, relay: StoreRelay) {
    super();
    this.#context = context;
    this.#relay = relay;
  }

  override async start(kernel: Kernel): Promise<void> {
    this.#entry = kernel.get('entry', EntryService);
    this.#directory = kernel.get('directory', ServerDirectory);
    this.#evacuations = kernel.get('evacuations', EvacuationWatch);
    this.#lanes = kernel.get('lanes', BackendLanes);
    this.#paths = kernel.get('paths', ServerPaths);
    this.#streams = kernel.get('streams', StreamOrigins);
    this.#room = kernel.get('room', RoomService);
    const { ready, metrics } = this.#context.settings.listen;
    const { background } = this.#context;
    this.#timer = background.every(STORE_CALLS_INTERVAL_MS, this.name, () => {
      this.#logStoreCalls();
    });
    await this.#listen('ready', ready, (req, res) => {
      this.#answerReady(req, res);
    });
    if (!metrics) return;
    await this.#listen('metrics', metrics, (_req, res) => {
      background.run(this.name, () => this.#answerMetrics(res));
    });
  }

  override stop(): void {
    clearInterval(this.#timer);
    this.#logStoreCalls();
    for (const clients of this.#clients) clients.stop();
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** What this process asked the store since its start, so that what is dear can be seen afterwards. */
  #logStoreCalls(): void {
    const calls = this.#context.store.collectionCalls
      .toSorted((a, b) => b.sent - a.sent)
      .map(({ kind, collection, sent }) => `${kind} ${collection} ${String(sent)}`);
    this.#context.log.write('store-calls', { calls: calls.join(', ') });
  }

  #answerReady(req: IncomingMessage, res: ServerResponse): void {
    const known = req.url === this.#context.dialects.callers.readyPath;
    const ready = this.#entry?.ready ?? false;
    if (ready !== this.#wasReady) this.#context.log.write('readiness-changed', { ready });
    this.#wasReady = ready;
    res.writeHead(known ? (ready ? 200 : 503) : 404, { 'content-length': 0 }).end();
  }

  async #answerMetrics(res: ServerResponse): Promise<void> {
    const { metrics, log, store, clock, rules } = this.#context;
    const { notices } = rules;
    const { rateLimits } = notices;
    metrics.gauge('requests_running', 'requests in progress', this.#entry?.running ?? 0);
    metrics.gauge('log_lines_dropped', 'log lines dropped', log.dropped);
    const ageMs = this.#directory?.ageMs(clock.now()) ?? Infinity;
    const ageHelp = 'seconds since the store confirmed the list of servers';
    metrics.gauge('server_list_age_seconds', ageHelp, ageMs / MS_PER_SECOND);
    const keptHelp = 'servers that are used although their entry is missing';
    metrics.gauge('servers_kept', keptHelp, this.#directory?.keptCount ?? 0);
    const limitedHelp = 'servers that name a rate limit';
    metrics.gauge('servers_rate_limited', limitedHelp, rateLimits.size);
    const limitHelp = 'requests a second that these servers take together from all instances';
    metrics.gauge('server_rate_limits_per_second', limitHelp, rateLimits.perSecond);
    const ownHelp = 'requests a second that this instance may send to them';
    metrics.gauge('server_rate_limit_share_per_second', ownHelp, rateLimits.ownPerSecond);
    const evacuatedHelp = 'data centres to whose servers nothing new is sent';
    metrics.gauge('data_centres_evacuated', evacuatedHelp, rules.evacuations.all.length);
    const evacuationsHelp = 'seconds since the store confirmed what is evacuated';
    const evacuationsAgeMs = this.#evacuations?.ageMs(clock.now()) ?? Infinity;
    metrics.gauge('evacuations_age_seconds', evacuationsHelp, evacuationsAgeMs / MS_PER_SECOND);
    const coldHelp = 'servers that are cold';
    metrics.gauge('servers_cold', coldHelp, rules.cold.count(clock.now()));
    const { leaving, resting } = notices.counts(clock.now());
    metrics.gauge('servers_leaving', 'servers that said that they leave', leaving);
    metrics.gauge('servers_resting', 'servers that asked for rest', resting);
    const paths = this.#paths?.counts ?? { tunnel: 0, none: 0 };
    metrics.gauge('servers_through_peers', 'servers reached through a peer', paths.tunnel);
    metrics.gauge('servers_without_path', 'servers that nobody is known to reach', paths.none);
    const brittleHelp = 'servers that fail after too many rejections in a second';
    metrics.gauge('servers_brittle', brittleHelp, notices.brittle.size);
    const streamsHelp = 'streams of which this instance knows what began them';
    metrics.gauge('streams_known', streamsHelp, this.#streams?.size ?? 0);
    const followersHelp = 'instances that wait for changes of the store at this one';
    metrics.gauge('store_followers', followersHelp, this.#relay.followers);
    const followsHelp = '1 while this instance follows the store through another one';
    metrics.gauge('store_follows', followsHelp, this.#relay.watcher === undefined ? 0 : 1);
    this.#room?.setGauges();
    for (const [service, pool] of this.#lanes?.pools ?? []) {
      setSpeedMetrics(metrics, service, pool, clock.now());
    }
    metrics.storeCalls(store.counters);
    metrics.collectionCalls(store.collectionCalls);
    const text = await metrics.text();
    res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
  }

  async #listen(
    name: ListenerName,
    { host, port }: Listen,
    handler: (req: IncomingMessage, res: ServerResponse) => void,
  ): Promise<void> {
    const server = createServer(boundedServerOptions(this.#context.settings.limits), (req, res) => {
      // no request here has a body that matters.
      req.resume();
      if (!answerUnservable(req, res, clients)) handler(req, res);
    });
    const clients = boundClients(server, this.#context, name);
    clients.start();
    this.#servers.push(server);
    this.#clients.push(clients);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port }, resolve);
    });
  }
}
