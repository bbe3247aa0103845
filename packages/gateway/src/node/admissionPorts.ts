/** Connects the admission of a lane to the settings, the log and the metrics of the process. */

import type { ServiceName, Tokens } from '@flamingocourse/core';
import type { AdmissionPorts } from '@flamingocourse/router';
import type { GatewayContext } from '../types/context.js';

/** Milliseconds between two log lines about the queue of one service. */
const LOG_INTERVAL_MS = 1_000;

/**
 * Returns the ports of the lane of a service.
 *
 * @param memoryTokens tokens that fit into the memory of a server; undefined while unknown.
 */
export function admissionPorts(
  { adaptiveLoad, clock, log, metrics }: GatewayContext,
  service: ServiceName,
  memoryTokens: () => Tokens | undefined,
): AdmissionPorts {
  let loggedAt = -Infinity;
  return {
    isOn: () => adaptiveLoad.isOn,
    memoryTokens,
    onEvent: (event) => {
      metrics.admission(service, event);
    },
    onStanding: (isStanding) => {
      metrics.standingQueue(service, isStanding);
      const now = clock.now();
      if (now - loggedAt < LOG_INTERVAL_MS) return;
      loggedAt = now;
      log.write('queue-standing-changed', { service, isStanding });
    },
  };
}
