/** Creates and connects the services of one router. */

import type { Clock, EventLog, Metrics } from '@flamingocourse/kernel';
import type { RouterContext } from '../types/routerContext.js';
import type { RouterSettings } from '../types/routerSettings.js';
import {
  BackgroundWork,
  describeError,
  Kernel,
  NoMetrics,
  StatsdMetrics,
} from '@flamingocourse/kernel';
import { MeshClient, MeshServer, logUnreadable } from '@flamingocourse/mesh';
import { HttpObjectStore } from '@flamingocourse/store';
import { HmacTicketCodec } from '../utils/hmacTicketCodec.js';
import { logInvalidInstances } from '../utils/logInvalidInstances.js';
import { Fleet } from '../types/fleet.js';
import { BackendService } from './backends/backendService.js';
import { DrainRelay } from './backends/drainRelay.js';
import { EntryServer } from './entry/entryServer.js';
import { RequestRunner } from './entry/requestRunner.js';
import { ConfigurationService } from './fleet/configurationService.js';
import { FleetService } from './fleet/fleetService.js';
import { MeshQuarantineExchange, MeshMoneyPeers, serveMoney } from './meshAdapters.js';
import { MeshHints } from './meshHints.js';
import { MoneyService } from './money/moneyService.js';
import { MoneyObjectStore, PlatformInstances } from './platformAdapters.js';

/** Options of {@link createRouter}. */
export interface RouterOptions {
  settings: RouterSettings;
  clock: Clock;
  log: EventLog;
  /** Returns numbers from 0 to 1 for the choice of servers. */
  random: () => number;
}

/** A router with all its services. */
export interface Router {
  start(): Promise<void>;
  /** Graceful shutdown: refuses new requests, completes running ones, returns budgets. */
  stop(): Promise<void>;
}

/**
 * Creates a router from its settings. Nothing runs until `start` is called.
 *
 * @example
 * const router = createRouter({ settings, clock: new SystemClock(), log, random: Math.random });
 * await router.start();
 */
export function createRouter(options: RouterOptions): Router {
  const { settings, clock, log } = options;
  const metrics = createMetrics(settings);
  const kernel = new Kernel();
  const background = new BackgroundWork((err, owner) => {
    kernel.reportFailure(err, owner);
  });
  const context: RouterContext = { settings, clock, log, metrics, background };
  const store = new HttpObjectStore({
    url: settings.platform.url,
    timeoutMs: settings.platform.timeoutMs,
    clock,
    onFailure: (err) => {
      kernel.reportFailure(err, 'store');
    },
    onInvalidInstance: logInvalidInstances(log),
  });
  const onUnreadable = logUnreadable(log);
  const client = new MeshClient({ secret: settings.fleetSecret, onUnreadable });
  const fleet = (): Fleet => kernel.get('fleet', Fleet);

  const mesh = new MeshServer({
    ...settings.mesh,
    secret: settings.fleetSecret,
    onUnreadable,
  });
  const hints = new MeshHints(client, fleet, background);
  const drains = new DrainRelay(store, hints);
  const entry = new EntryServer(context);
  const requests = new RequestRunner(context, new HmacTicketCodec(settings.fleetSecret));
  const money = new MoneyService({
    context,
    store: new MoneyObjectStore(store),
    peers: new MeshMoneyPeers(client, fleet),
  });
  serveMoney(mesh, money);
  hints.serve(mesh);

  kernel
    .register(mesh)
    .register(new FleetService({ context, mesh: client, store }))
    .register(new ConfigurationService({ context, mesh: client, store }))
    .register(money)
    .register(drains)
    .register(
      new BackendService({
        context,
        instances: new PlatformInstances(store),
        quarantine: new MeshQuarantineExchange(hints),
        drains,
        random: options.random,
      }),
    )
    .register(requests)
    .register(entry);
  // The failure of one service must not stop the others: the router continues with what still works.
  kernel.onFailure((err, service) => {
    log.write('service-failed', { service, error: describeError(err) });
  });

  return {
    async start() {
      await kernel.start();
      mesh.reportStatus(() => entry.status());
      fleet().setState('serving');
      log.write('router-started', { entry: settings.entry.publicUrl });
    },
    async stop() {
      log.write('router-stopping', { running: requests.running });
      fleet().setState('leaving');
      await kernel.stop();
      client.close();
      store.close();
      await metrics.close();
      log.write('router-stopped');
    },
  };
}

function createMetrics(settings: RouterSettings): Metrics {
  if (!settings.statsd) return new NoMetrics();
  const { instance, dataCentre } = settings;
  return new StatsdMetrics({ ...settings.statsd, tags: { instance, dataCentre } });
}
