/** Settings, services and readiness of the processes that the soak and the compatibility check start. */

import type { SoakProcess } from './soakProcess.js';
import { EVACUATION_APPLY_MS } from './soakEvacuations.js';
import { configWith, until } from '../platform/world.js';
import { TOKENS_PER_EVENT } from './soakPromises.js';

/** Ports of one instance: for callers, for readiness checks and for other instances. */
export const PORTS_PER_INSTANCE = 3;
/** Milliseconds that an instance has from SIGTERM to its exit. */
export const STOP_GRACE_MS = 4_000;
/** Path prefix of the routes with a long time limit. */
export const LONG_PREFIX = '/long';
/** Time limit of these routes in milliseconds; longer than a stop. */
export const LONG_MS = 9_000;
const DATA_CENTRES = ['hall-a', 'hall-b', 'hall-c'] as const;
/** Number of data centres over which instances are spread in turn. */
export const DATA_CENTRE_COUNT = DATA_CENTRES.length;

/**
 * Settings of the instance with the given index, which uses the first three of `ports`. Instances are
 * spread over the given number of data centres in turn.
 */
export function settingsOf(
  ports: number[],
  storeUrl: string,
  at: number,
  dataCentres: number = DATA_CENTRE_COUNT,
): SoakProcess['settings'] {
  const [entry = '', ready = '', mesh = ''] = ports.map((port) => `127.0.0.1:${String(port)}`);
  return {
    dataCentre: DATA_CENTRES[at % dataCentres],
    listen: { entry, ready, mesh },
    store: { url: storeUrl, timeoutMs: 500, watchIdleMs: 1_000, configurationIdleMs: 1_000 },
    prepaid: { reportMs: 300, rideThroughSeconds: 3 },
    retries: { ratio: 0.2, slack: 54, windowMs: 10_000 },
    evacuation: { applyMs: EVACUATION_APPLY_MS },
    stopGraceMs: STOP_GRACE_MS,
  };
}

/** Services of the test configuration, with engines of the size of the stand-ins. */
export function soakServices(): object[] {
  const { services } = configWith() as { services: { engine?: object }[] };
  return services.map((service) => {
    return service.engine
      ? { ...service, engine: { slots: 16, stride: TOKENS_PER_EVENT } }
      : service;
  });
}

/** Routes of the test configuration, each also with a long time limit. */
export function soakRoutes(): object[] {
  const { routes } = configWith() as { routes: { name: string; path_prefix: string }[] };
  const long = routes.map((route) => {
    const { name, path_prefix: prefix } = route;
    const change = { path_prefix: `${LONG_PREFIX}${prefix}`, timeout_ms: LONG_MS };
    return { ...route, ...change, name: `long-${name}` };
  });
  return [...routes, ...long];
}

/** Waits until a started process is ready; fails at once if it exits before that. */
export async function untilReady(instance: SoakProcess): Promise<void> {
  const { name, settings, unexpectedExits } = instance;
  await until(`${name} is ready`, async () => {
    const [exit] = unexpectedExits;
    if (exit !== undefined) throw new Error(`${exit}; its last line: ${lastLine(instance)}`);
    try {
      return (await fetch(`http://${settings.listen.ready}/api/ready`)).ok;
    } catch (err) {
      // The process does not listen yet.
      if (err instanceof TypeError) return false;
      throw err;
    }
  });
}

function lastLine({ output }: SoakProcess): string {
  return output.trimEnd().split('\n').at(-1) ?? 'none';
}
