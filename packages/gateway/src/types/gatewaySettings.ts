/** Settings of a gateway process. */

import type { ColdBound } from '@flamingocourse/core';
import type { ClientLimits } from './clientLimits.js';
import type { UnansweredPolicy } from '../runtime/charge.js';

/** An address to listen on. */
export interface Listen {
  host: string;
  port: number;
}

/** Settings with all defaults filled in. */
export interface GatewaySettings {
  instance: string;
  dataCentre: string;
  listen: {
    entry: Listen;
    ready: Listen;
    metrics?: Listen | undefined;
    /** Listener for the other instances; without it this instance neither lends nor borrows. */
    mesh?: Listen | undefined;
  };
  store: {
    url: string;
    /** Timeout of a whole call, in milliseconds. */
    timeoutMs: number;
    /** Milliseconds without data after which a watch counts as broken. */
    watchIdleMs: number;
    /** Milliseconds within which a silent watch of the configuration has to be reopened. */
    configurationIdleMs: number;
  };
  prepaid: {
    /** Milliseconds between two reports of spent tokens. */
    reportMs: number;
    /**
     * Seconds of its demand that an instance holds in tokens, to keep serving while partitioned.
     */
    rideThroughSeconds: number;
    /** Whether a request that returned nothing to the account is charged for its prompt. */
    unanswered: UnansweredPolicy;
    /** Milliseconds without a report after which an instance counts as lost. */
    silentMs: number;
    /** Milliseconds between two checks of the members of a group. */
    tendMs: number;
  };
  retries: {
    /** Maximum retries, as a fraction of all requests of a service. */
    ratio: number;
    /** Additional retries per window, for the whole fleet. */
    slack: number;
    /** Length of the sliding window, in milliseconds. */
    windowMs: number;
  };
  /** Terms that are in force for the deployment, as its platform names them. */
  terms: readonly string[];
  /** Regions of the data centres, by their names; empty if they are not known. */
  regions: Readonly<Record<string, string>>;
  /** Absent where operators evacuate no data centres. */
  evacuation?:
    | {
        /** Milliseconds within which an evacuation must take effect here. */
        applyMs: number;
      }
    | undefined;
  /** Bound on what all instances together send to a cold server; absent where there is none. */
  coldServers?: ColdBound | undefined;
  /** Bounds on what clients make the process hold. */
  limits: ClientLimits;
  servers: {
    /**
     * Milliseconds after an outage of the store for which servers with an expired entry are kept.
     */
    lapseGraceMs: number;
    /** Timeout of a new connection, in milliseconds. */
    connectMs: number;
  };
  /** Milliseconds from the stop signal to the end of the process. */
  stopGraceMs: number;
  logLevel: 'error' | 'warn' | 'info' | 'debug';
}
