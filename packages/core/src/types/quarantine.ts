/** What is known of requests that crash the backend servers that run them. */

import type { EpochMs, ServerId } from './ids.js';

/** Digest of account, service and body. */
export type Fingerprint = string;

/** What the quarantine says about a request. */
export type QuarantineVerdict =
  /** Nothing known: it may run beside others. */
  | 'clear'
  /** A server crashed with it in flight: it has to run alone, where servers run few requests at once. */
  | 'suspect'
  /** It crashed servers repeatedly: it gets a final refusal. */
  | 'quarantined';

/** A crash of a server with the request in flight. */
export interface CrashRecord {
  server: ServerId;
  at: EpochMs;
}

/** What is known about one fingerprint. */
export interface QuarantineEntry {
  /** Crashes since it was last cleared, oldest first; bounded. */
  crashes: CrashRecord[];
  /** When it last finished on a server without a crash; earlier crashes no longer count. */
  clearedAt?: EpochMs;
  quarantinedAt?: EpochMs;
  /** When an operator let it run again. */
  releasedAt?: EpochMs;
}

/** A request that ends the servers that run it. */
export interface ProvenCause {
  fingerprint: Fingerprint;
  /** Lives of servers that ended under it. */
  servers: ServerId[];
}

/** Serialisable state. */
export interface QuarantineState {
  entries: Record<Fingerprint, QuarantineEntry>;
}

/** What a router has seen. */
export type QuarantineEvent =
  | {
      /**
       * The server's process died. Not for timeouts or an unreachable network: a data centre that is
       * cut off would make every request in flight there look like poison.
       */
      type: 'crashed';
      server: ServerId;
      /** All requests that were in flight there, each once. */
      inFlight: Fingerprint[];
      /**
       * Whether other instances may have had requests in flight there too. What this one had in flight
       * then proves nothing alone, and each may report the same crash. @default false
       */
      isShared?: boolean;
    }
  | { type: 'finished'; fingerprint: Fingerprint }
  | { type: 'released'; fingerprint: Fingerprint };
