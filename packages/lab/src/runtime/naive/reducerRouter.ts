/** One router of the reducer fleet: the real spender, its witness memory and what it answered. */

import type { IncarnationId, WitnessState } from '@flamingocourse/core';
import { Spender, createWitness } from '@flamingocourse/core';

/** State of a router. A killed one is replaced; a sealed one starts over with its memory. */
export interface ReducerRouter {
  readonly dataCentre: string;
  spender: Spender;
  witness: WitnessState;
  /** Earlier incarnations of this process. */
  formerly: IncarnationId[];
  /** Highest line that a witness confirmed. */
  keptSeq: number;
  losesReply: boolean;
  /** Keys that it has answered, and those whose end it does not know. */
  readonly known: Map<number, 'answered' | 'unknown'>;
}

/** Creates a router's first or next incarnation. */
export function createRouter(dataCentre: string, id: IncarnationId): ReducerRouter {
  return {
    dataCentre,
    spender: new Spender(id),
    witness: createWitness(),
    formerly: [],
    keptSeq: 0,
    losesReply: false,
    known: new Map(),
  };
}
