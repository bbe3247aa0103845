/** Creates and connects the services of a gateway process. */

import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { GatewayDialects, GatewayContext } from '../types/context.js';
import type { GatewaySettings } from '../types/gatewaySettings.js';
import { randomUUID } from 'node:crypto';
import { isDeepStrictEqual } from 'node:util';
import {
  COLD_WINDOW_MS,
  ColdServers,
  Evacuations,
  FleetShare,
  RecordedSoftware,
  SeenSoftware,
  SendRules,
  ServerNotices,
  ServerRateLimits,
  packSums,
  unpackSums,
} from '@flamingocourse/core';
import { BackgroundWork, BodyBuffers, Kernel, describeError } from '@flamingocourse/kernel';
import { MeshClient, MeshServer, logUnreadable } from '@flamingocourse/mesh';
import { Result } from 'true-myth';
import { HttpObjectStore, defaultCircuitOptions } from '@flamingocourse/store';
import type { FleetConditions } from '../types/fleetConditions.js';
import { BackendLanes } from './backendLanes.js';
import { clientOptions } from './boundClients.js';
import { AnswerMemory } from './answerMemory.js';
import { AnswerEndCheck } from './answerEndCheck.js';
import { ConnectionCheck } from './connectionCheck.js';
import { AdaptiveLoad } from '../runtime/adaptiveLoad.js';
import { ConfigurationWatch } from './configurationWatch.js';
import { EntryService } from './entryService.js';
import { FleetConditionsService } from './fleetConditionsService.js';
import { EvacuationWatch } from './evacuationWatch.js';
import { GatewayMetrics } from './gatewayMetrics.js';
import { HttpHealthCheck } from './httpHealthCheck.js';
import { InstanceDirectory } from './instanceDirectory.js';
import { StoredCrashCauses } from './storedCrashCauses.js';
import { MeshConditionCalls } from './meshConditionCalls.js';
import { MeshFollowCalls } from './meshFollowCalls.js';
import { MeshLoanCalls } from './meshLoanCalls.js';
import { MeshGossipCalls } from './meshGossipCalls.js';
import { MeshTunnelCalls } from './meshTunnelCalls.js';
import { GossipService } from './gossipService.js';
import { InstancePressure } from '../runtime/instancePressure.js';
import { PrepaidService } from './prepaidService.js';
import { ReportedPressure } from '../runtime/reportedPressure.js';
import { RoomService } from './roomService.js';
import { RotationControl } from './rotationControl.js';
import { ServerAgent } from './serverAgent.js';
import { ServerDirectory } from './serverDirectory.js';
import { ServerTunnels } from './serverTunnels.js';
import { ServerPaths } from './serverPaths.js';
import { ServerProcesses } from './serverProcesses.js';
import { SharedQuarantine } from './sharedQuarantine.js';
import { MeshStreamCalls } from './meshStreamCalls.js';
import { SoftwareRecords } from './softwareRecords.js';
import { StoreRelay } from './storeRelay.js';
import { StreamOrigins } from './streamOrigins.js';
import { StatusService } from './statusService.js';

/**
 * Maximum pause between probes of an unreachable store, in milliseconds. During the pause tokens
 * run out and new servers stay unknown, so it is a fraction of the time in which a configuration
 * has to take effect.
 */
const MAX_CIRCUIT_PAUSE_MS = 400;

/** Settings that are read only at start. */
const restartSettings = [
  'instance',
  'dataCentre',
  'listen',
  'store',
  // the watch of evacuations begins at the start.
  'evacuation',
  'limits',
  'logLevel',
] as const;

/** Options of a gateway. */
export interface GatewayOptions {
  settings: GatewaySettings;
  dialects: GatewayDialects;
  clock: Clock;
  log: EventLog;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random: () => number;
  /** What is known of the other instances' pressure; without it this one stays in rotation. */
  conditions?: Pick<FleetConditions, 'view'>;
}

/** A gateway process. */
export interface Gateway {
  start(): Promise<void>;
  /**
   * Applies new settings without affecting running requests. Changes of names, addresses, the store
   * and the log level need a restart; all others take effect at once.
   *
   * @returns names of the changed settings that need a restart.
   */
  reload(settings: GatewaySettings): string[];
  /** Stops gracefully: reports not ready at once, finishes running requests, returns tokens. */
  stop(): Promise<void>;
}

/**
 * Creates a gateway from its settings. Nothing runs before `start`.
 *
 * @example
 * const gateway = createGateway({ settings, dialects, clock: new MonotonicClock(), log, random });
 * await gateway.start();
 */
export function createGateway(options: GatewayOptions): Gateway {
  const { dialects, clock, log, random } = options;
  const settings = { ...options.settings };
  const onUnreadable = logUnreadable(log);
  const peers = new MeshClient({ onUnreadable });
  const relay = new StoreRelay({
    instance: settings.instance,
    configurationIdleMs: settings.store.configurationIdleMs,
    clock,
    log,
    calls: new MeshFollowCalls(peers),
    instances: () => instances.inDataCentre,
    onFailure: (err) => {
      kernel.reportFailure(err, 'relay');
    },
  });
  const store = new HttpObjectStore({
    url: settings.store.url,
    timeoutMs: settings.store.timeoutMs,
    watchIdleMs: settings.store.watchIdleMs,
    dialect: dialects.store,
    relay,
    circuit: { ...defaultCircuitOptions, maxPauseMs: MAX_CIRCUIT_PAUSE_MS },
    clock,
    random,
    onFailure: (err) => {
      kernel.reportFailure(err, 'store');
    },
  });
  const metrics = new GatewayMetrics();
  const notices = new ServerNotices(new ServerRateLimits(random), random);
  const coldShare = new FleetShare(COLD_WINDOW_MS);
  const cold = new ColdServers(
    () => settings.coldServers,
    (id, now) => coldShare.isOwner(id, now),
  );
  const rules = new SendRules(notices, new Evacuations(), cold);
  // the configuration bounds each body.
  const clientBytes = new BodyBuffers(settings.limits.heldBytes, Infinity);
  const context: GatewayContext = {
    settings,
    clock,
    log,
    metrics,
    store,
    dialects,
    rules,
    software: { seen: new SeenSoftware(), recorded: new RecordedSoftware() },
    adaptiveLoad: new AdaptiveLoad(() => dialects.needsAdaptiveLoad(settings.terms)),
    clientBytes,
    answers: new AnswerMemory(clientBytes),
    background: new BackgroundWork((err, owner) => {
      kernel.reportFailure(err, owner);
    }),
    random,
  };
  const kernel = new Kernel();
  const agent = new ServerAgent();
  const configuration = new ConfigurationWatch(context);
  const health = new HttpHealthCheck(context, configuration, agent, (service) => {
    return lanes.find(service)?.lane.pool;
  });
  const directory = new ServerDirectory(context, health);
  const processes = new ServerProcesses(context, agent, () => directory.confirmedAt);
  const pressure = new InstancePressure();
  const conditions = new FleetConditionsService(context, new MeshConditionCalls(peers));
  const rotation = new RotationControl(context, {
    pressure,
    conditions: options.conditions ?? conditions,
  });
  conditions.setPressureSource(new ReportedPressure(pressure, () => !rotation.isOut));
  const instances = new InstanceDirectory(context);
  instances.onRead((read) => {
    coldShare.observe(read);
  });
  const incarnation = randomUUID();
  const gossip = new GossipService(context, incarnation, new MeshGossipCalls(peers));
  const room = new RoomService(context, conditions);
  const paths = new ServerPaths(context, agent, new MeshTunnelCalls(peers));
  const answerEnds = new AnswerEndCheck(agent, paths);
  const entry = new EntryService(context, agent, processes, answerEnds, pressure);
  const crashCheck = new ConnectionCheck(agent, paths);
  const causes = new StoredCrashCauses(context);
  const quarantine = new SharedQuarantine(context, gossip, causes);
  const lanes = new BackendLanes(context, crashCheck, quarantine);
  const prepaid = new PrepaidService(context, incarnation, new MeshLoanCalls(peers));
  kernel
    .register(configuration)
    .register(new EvacuationWatch(context))
    .register(directory)
    .register(paths)
    .register(lanes)
    .register(instances)
    .register(gossip)
    .register(conditions)
    .register(room)
    .register(causes);
  const streams = new StreamOrigins(context, new MeshStreamCalls(peers));
  kernel.register(new SoftwareRecords(context)).register(streams);
  const tunnels = new ServerTunnels(context);
  if (settings.listen.mesh) {
    const clients = clientOptions(context, 'mesh');
    const mesh = new MeshServer({ ...settings.listen.mesh, clients, onUnreadable });
    mesh.handle('followStore', (request) => relay.answer(request));
    mesh.handle('borrow', async (req) => Result.ok(await prepaid.lend(req)));
    mesh.handle('writeReport', (forwarded) => prepaid.writeFor(forwarded));
    mesh.handle('exchangeNews', (message) => Result.ok(gossip.handleMessage(message)));
    mesh.handle('shareConditions', (sums) => conditions.answer(unpackSums(sums)).map(packSums));
    mesh.handle('keepStreams', (message) => {
      streams.keep(message.streams);
      return Result.ok('kept');
    });
    mesh.handle('findStream', ({ key, services }) => Result.ok(streams.answer(key, services)));
    kernel.register(mesh).register(tunnels);
  }
  kernel
    .register(prepaid)
    .register(rotation)
    .register(entry)
    .register(new StatusService(context, relay));
  kernel.onFailure((err, service) => {
    log.write('service-failed', { service, error: describeError(err) });
  });
  return {
    async start() {
      await kernel.start();
      log.write('gateway-started', { port: settings.listen.entry.port });
    },
    reload(next) {
      const fixed = restartSettings.filter(
        (name) => !isDeepStrictEqual(settings[name], next[name]),
      );
      const kept = Object.fromEntries(restartSettings.map((name) => [name, settings[name]]));
      Object.assign(settings, next, kept);
      lanes.applySettings();
      return fixed;
    },
    async stop() {
      log.write('gateway-stopping', { running: entry.running });
      relay.beginStop();
      tunnels.beginStop(settings.stopGraceMs, entry.beginStop());
      prepaid.beginStop();
      streams.beginStop();
      await Promise.all([instances.leave(), kernel.stop()]);
      peers.close();
      store.close();
      log.write('gateway-stopped');
    },
  };
}
