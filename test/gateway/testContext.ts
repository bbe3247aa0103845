/** Gateway context for tests of single services. */

import type { GatewayContext } from '@flamingocourse/gateway';
import type { Clock, EventLog } from '@flamingocourse/kernel';
import type { ObjectStore } from '@flamingocourse/store';
import {
  RecordedSoftware,
  SeenSoftware,
  SendRules,
  ServerNotices,
  ServerRateLimits,
} from '@flamingocourse/core';
import { AdaptiveLoad, AnswerMemory, parseGatewaySettings } from '@flamingocourse/gateway';
import { createPlatformDialects } from '@flamingocourse/platform-adapter';
import { BackgroundWork, BodyBuffers, describeError } from '@flamingocourse/kernel';
import { GatewayMetrics } from '../../packages/gateway/src/node/gatewayMetrics.js';

/** Returns a context with default settings and without network. */
export function testContext(clock: Clock, log: EventLog, store: ObjectStore): GatewayContext {
  const settings = parseGatewaySettings(
    JSON.stringify({
      instance: 'edge-1',
      dataCentre: 'hall-a',
      listen: { entry: '127.0.0.1:1', ready: '127.0.0.1:2' },
      store: { url: 'http://127.0.0.1:3' },
      retries: { ratio: 0.2, slack: 54, windowMs: 10_000 },
    }),
    'test.jsonc',
  );
  if (settings.isErr) throw new Error(settings.error);
  // the configuration bounds each body.
  const clientBytes = new BodyBuffers(undefined, Infinity);
  return {
    settings: settings.value,
    clock,
    log,
    metrics: new GatewayMetrics(),
    store,
    dialects: createPlatformDialects(),
    software: { seen: new SeenSoftware(), recorded: new RecordedSoftware() },
    adaptiveLoad: new AdaptiveLoad(() => false),
    clientBytes,
    answers: new AnswerMemory(clientBytes),
    background: new BackgroundWork((err, service) => {
      log.write('service-failed', { service, error: describeError(err) });
    }),
    rules: new SendRules(new ServerNotices(new ServerRateLimits(() => 0.5), () => 0.5)),
    random: () => 0.5,
  };
}
