/** Settings of a process with the pass-through entry. */

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
    /** Serves the other instances; without it this instance neither lends nor borrows. */
    mesh?: Listen | undefined;
  };
  store: {
    url: string;
    /** Milliseconds for a whole call. */
    timeoutMs: number;
    /** Milliseconds for which a watch may be silent. */
    watchIdleMs: number;
    /** Milliseconds within which a watch of the configuration that went silent has to be open anew. */
    configurationIdleMs: number;
  };
  prepaid: {
    /** Milliseconds between reports of spend. */
    reportMs: number;
    /** Seconds of its demand that an instance holds to serve while it is cut off. */
    rideThroughSeconds: number;
    /** Whether a request of which the account got nothing is charged with its prompt. */
    unanswered: UnansweredPolicy;
    /** Milliseconds without a report after which an instance is taken for lost. */
    silentMs: number;
    /** Milliseconds between two looks at the members of a group. */
    tendMs: number;
  };
  retries: {
    /** Attempts beyond the first, as a part of all requests of a service. */
    ratio: number;
    /** Further such attempts that the whole fleet may make in a window. */
    slack: number;
    windowMs: number;
  };
  servers: {
    /** Milliseconds after the store's return for which entries that lapsed meanwhile are kept. */
    lapseGraceMs: number;
    /** Milliseconds for a new connection. */
    connectMs: number;
  };
  /** Milliseconds between the order to stop and the end of the process. */
  stopGraceMs: number;
  logLevel: 'error' | 'warn' | 'info' | 'debug';
}
