/** One router of the reducer fleet: its `Spender`, its witness state and its answers. */

import type { IncarnationId, WitnessState } from '@flamingocourse/core';
import { Spender, createWitness } from '@flamingocourse/core';

/** State of a router. A crashed router is replaced; a sealed one continues with its memory. */
export interface ReducerRouter {
  readonly dataCentre: string;
  spender: Spender;
  witness: WitnessState;
  /** Earlier incarnations of this process. */
  formerly: IncarnationId[];
  /** Sequence number of the last line that a witness has confirmed to store. */
  storedSeq: number;
  /** Whether the reply to its next write gets lost. */
  losesNextReply: boolean;
  /** Outcomes of the keys that it has answered or whose result it does not know. */
  readonly outcomes: Map<number, 'answered' | 'unknown'>;
}

/** Creates a router's first or next incarnation. */
export function createRouter(dataCentre: string, id: IncarnationId): ReducerRouter {
  return {
    dataCentre,
    spender: new Spender(id),
    witness: createWitness(),
    formerly: [],
    storedSeq: 0,
    losesNextReply: false,
    outcomes: new Map(),
  };
}
