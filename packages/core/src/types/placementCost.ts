/** What it costs to run a generation at one server, in milliseconds until its first event. */

import type { ServerId, Tokens } from './ids.js';

/** Parts of the sum by which servers are compared. */
export interface PlacementCost {
  server: ServerId;
  /** Tokens of the prompt that the server is believed to keep. */
  keptTokens: Tokens;
  /** Reading the rest of the prompt, at the speed of the server now. */
  readMs: number;
  /** Waiting for a slot. */
  waitMs: number;
  /** Copying what another server keeps; 0 without a copy. */
  copyMs: number;
  /** Reading again, later, what the placement drives out of the server's memory. */
  displacedMs: number;
  /**
   * What is charged, as time: bytes of the request to another data centre, and tokens that are read
   * again although another server keeps them, or is the one that should.
   */
  chargedMs: number;
  totalMs: number;
}

/** A placement with the cost that decided it. */
export interface PlacementPlan {
  cost: PlacementCost;
  /** The same for the server that all instances prefer for the prompt, if it had room. */
  ownerCost?: PlacementCost | undefined;
  /** Server from which the cached parts are copied, if that is cheaper than reading them. */
  copyFrom?: ServerId | undefined;
  /** Tokens that the copy brings. */
  copiedTokens: Tokens;
}

/** What the first event of a generation says about its prompt. */
export interface PromptReading {
  /** Tokens that were cached at the server. */
  foundTokens: Tokens;
  copiedTokens: Tokens;
  readTokens: Tokens;
  /** Parts that were believed to be cached and were read. */
  wrongParts: number;
}

/** What a service's engines have in common. */
export interface EngineTerms {
  /** Tokens that fit into the memory of one engine; undefined while unknown. */
  memoryTokens?: Tokens | undefined;
  /** Bytes that are copied for each cached token. */
  tokenBytes?: number | undefined;
  /** Bytes that the link of an engine carries in a millisecond. */
  linkBytesPerMs?: number | undefined;
  /** Whether engines can copy cached parts from each other. */
  copiesPrompts: boolean;
}
