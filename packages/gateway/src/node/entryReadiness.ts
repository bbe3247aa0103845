/** Whether an instance should get new connections of callers, and keep those that it has. */

import type { StopSchedule } from '../runtime/stopSchedule.js';
import type { GatewayContext } from '../types/context.js';
import type { BackendLanes } from './backendLanes.js';
import type { ConfigurationWatch } from './configurationWatch.js';
import type { EvacuationWatch } from './evacuationWatch.js';
import type { PrepaidService } from './prepaidService.js';
import type { RotationControl } from './rotationControl.js';

/** Services that readiness depends on. */
export interface ReadinessParts {
  configuration: ConfigurationWatch;
  evacuations: EvacuationWatch;
  lanes: BackendLanes;
  prepaid: PrepaidService;
  rotation: RotationControl;
}

/**
 * Decides whether an instance is ready and whether it closes its callers' connections.
 *
 * @example
 * const readiness = new EntryReadiness(context, stopSchedule);
 * readiness.begin({ configuration, evacuations, lanes, prepaid, rotation });
 * const status = readiness.ready ? 200 : 503;
 */
export class EntryReadiness {
  readonly #context: GatewayContext;
  readonly #stopSchedule: StopSchedule;
  #parts: ReadinessParts | undefined;

  constructor(context: GatewayContext, stopSchedule: StopSchedule) {
    this.#context = context;
    this.#stopSchedule = stopSchedule;
  }

  /** Nothing is ready before this call. */
  begin(parts: ReadinessParts): void {
    this.#parts = parts;
  }

  /** Whether the load balancer should send new connections to this instance. */
  get ready(): boolean {
    if (this.#stopSchedule.isStopping) return false;
    const hasServers = this.#parts?.lanes.hasServers ?? false;
    const isServing = this.mayChooseServers && hasServers;
    const isOut = this.#parts?.rotation.isOut ?? false;
    return isServing && !isOut && !this.#defersToOthers;
  }

  /** Whether it is known where requests may go: the configuration, and what is evacuated. */
  get mayChooseServers(): boolean {
    if (!this.#parts) return false;
    const { configuration, evacuations } = this.#parts;
    return configuration.table !== undefined && evacuations.isKnown;
  }

  /** Whether connections of callers are closed after the response. */
  get closesConnections(): boolean {
    if (this.#stopSchedule.isStopping || this.#defersToOthers) return true;
    return this.#parts?.rotation.closesConnections ?? false;
  }

  /** Whether other instances can probably serve callers better than this one. */
  get #defersToOthers(): boolean {
    return this.#isPartitioned || (this.#parts?.prepaid.shouldDivertCallers ?? false);
  }

  /**
   * Whether a partition separates this instance from the servers. Callers are then better served by
   * the instances of another data centre, to which the load balancer sends them when none here is
   * ready. An instance that lost only the store and its peers keeps serving, because the same may
   * have happened to all instances.
   */
  get #isPartitioned(): boolean {
    const unreachable = this.#parts?.lanes.unreachable ?? 'little';
    if (unreachable === 'service') return true;
    const fresh = this.#parts?.configuration.isFresh(this.#context.clock.now()) ?? false;
    return unreachable === 'most' && !fresh;
  }
}
