/** Types of the quarantine for requests that crash backend servers. */

import type { EpochMs, ServerId } from './ids.js';

/**
 * What may cause crashes: a whole request (the digest of account, service and body), or a part of
 * prompts (see `partFingerprint`), which requests share.
 */
export type Fingerprint = string;

/** Verdict of the quarantine on a request. */
export type QuarantineVerdict =
  /** No known crashes: it may run concurrently with others. */
  | 'clear'
  /**
   * A server crashed with it in flight. Where servers run few requests at once, it must run alone.
   */
  | 'suspect'
  /** It crashed servers repeatedly: it is refused. */
  | 'quarantined';

/** A server crash during which the request was in flight. */
export interface CrashRecord {
  server: ServerId;
  at: EpochMs;
}

/** State of one fingerprint. */
export interface QuarantineEntry {
  /** Crashes since it was last cleared, oldest first; bounded in number. */
  crashes: CrashRecord[];
  /** When it last finished on a server without a crash; earlier crashes no longer count. */
  clearedAt?: EpochMs;
  quarantinedAt?: EpochMs;
  /** When an operator released it from quarantine. */
  releasedAt?: EpochMs;
}

/** A request that was shown to crash the servers that run it. */
export interface ProvenCrashCause {
  fingerprint: Fingerprint;
  /** Incarnations of servers that crashed with it in flight. */
  servers: ServerId[];
}

/** Serialisable state of the quarantine. */
export interface QuarantineState {
  entries: Record<Fingerprint, QuarantineEntry>;
}

/** An event that a router observed. */
export type QuarantineEvent =
  | {
      /**
       * The server's process died. Not used for timeouts or an unreachable network: otherwise, when
       * a data centre is cut off, every request in flight there would count as a cause of crashes.
       */
      type: 'crashed';
      server: ServerId;
      /** All requests that were in flight there, without duplicates. */
      inFlight: Fingerprint[];
      /**
       * Whether other instances may have had requests in flight there too. The requests in flight
       * from this instance are then no sufficient proof, and several instances may report the
       * same crash. @default false
       */
      isShared?: boolean;
    }
  | { type: 'finished'; fingerprint: Fingerprint }
  | { type: 'released'; fingerprint: Fingerprint };
