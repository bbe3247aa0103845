/** Configuration changes that precede the silences of a run. */

import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { SoakConfiguration } from './soakConfiguration.js';
import { soakRoutes, soakServices } from './soakFleet.js';

/** Values of `idle_timeout_ms`: shorter than a silence, and longer. */
const IDLE_TIMEOUTS_MS = [300, 800, 2_000, 15_000];
/** Values of `timeout_ms`: shorter than a silence, and longer. */
const ROUTE_TIMEOUTS_MS = [900, 1_500, 2_300, 4_000];
const MAX_BODY_BYTES = 1_000_000;
const HEADER_TIMEOUT_MS = 3_000;
/** Value before the first change, in milliseconds. */
const USUAL_IDLE_MS = 15_000;
/** Suffix of the services to which routes move. */
export const OTHER_SUFFIX = '-2';

interface Named {
  name: string;
  [field: string]: unknown;
}

interface Route extends Named {
  service: string;
}

type ChangeKind = 'idle timeout' | 'route timeout' | 'moved route';

const KINDS: readonly ChangeKind[] = ['idle timeout', 'route timeout', 'moved route'];

/** Changes the configuration of a run, one kind of change after the other. */
export class SoakSilenceChanges {
  #turn = 0;
  #idleTimeoutMs = USUAL_IDLE_MS;
  #routes: Route[];

  constructor(
    readonly configuration: SoakConfiguration,
    readonly random: Random,
  ) {
    this.#routes = soakRoutes() as Route[];
    this.#apply();
  }

  /** Makes the next change and returns a phrase for it. */
  next(): string {
    const kind = KINDS[this.#turn % KINDS.length] ?? 'idle timeout';
    this.#turn += 1;
    const phrase = this.#change(kind);
    this.#apply();
    this.configuration.write();
    return phrase;
  }

  #change(kind: ChangeKind): string {
    const { random } = this;
    switch (kind) {
      case 'idle timeout':
        this.#idleTimeoutMs = random.pick(IDLE_TIMEOUTS_MS);
        return `${kind} of ${String(this.#idleTimeoutMs)} ms`;
      case 'route timeout': {
        const timeoutMs = random.pick(ROUTE_TIMEOUTS_MS);
        this.#routes = this.#routes.map((route) => ({ ...route, timeout_ms: timeoutMs }));
        return `${kind} of ${String(timeoutMs)} ms`;
      }
      case 'moved route': {
        const moved = this.#routes.filter(() => random.chance(1 / 2)).map(({ name }) => name);
        this.#routes = this.#routes.map((route) => {
          return moved.includes(route.name) ? { ...route, service: otherOf(route.service) } : route;
        });
        return `${kind}: ${moved.join(', ')}`;
      }
    }
  }

  #apply(): void {
    const services = soakServices() as Named[];
    const others = services.map((service) => ({ ...service, name: otherOf(service.name) }));
    this.configuration.overrides = {
      routes: this.#routes,
      services: [...services, ...others],
      limits: {
        max_body_bytes: MAX_BODY_BYTES,
        header_timeout_ms: HEADER_TIMEOUT_MS,
        idle_timeout_ms: this.#idleTimeoutMs,
      },
    };
  }
}

function otherOf(service: string): string {
  return service.endsWith(OTHER_SUFFIX)
    ? service.slice(0, -OTHER_SUFFIX.length)
    : service + OTHER_SUFFIX;
}
