/** Fault switches of one entrance of the platform stand-in. */

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { z } from 'zod';

/** Schema of the fault switches. */
export const entranceFaultsSchema = z.object({
  /** `refuse`: answers 503 at once. `silent`: accepts connections and never answers. */
  outage: z.enum(['none', 'refuse', 'silent']),
  /** Delay before each call is handled, in milliseconds. */
  latencyMs: z.number().min(0),
  /**
   * 1 or more: number of writes, starting with the next, whose reply is lost. Below 1: probability
   * that the reply to a write is lost.
   */
  lostReplies: z.number().min(0),
  /** Watches stay open but send nothing. */
  freezeWatch: z.boolean(),
});

export type EntranceFaults = z.infer<typeof entranceFaultsSchema>;

/** Body of `POST /control/faults`; an omitted switch keeps its value. */
export const faultCommandSchema = entranceFaultsSchema
  .partial()
  .extend({ dataCentre: z.string().default('all') });

/** Returns switches that are all off. */
export function createEntranceFaults(): EntranceFaults {
  return { outage: 'none', latencyMs: 0, lostReplies: 0, freezeWatch: false };
}

/** Returns whether the reply to a write is lost, and decrements the number of lost replies. */
export function consumeLostReply(faults: EntranceFaults, random: RandomGenerator): boolean {
  if (faults.lostReplies === 0) return false;
  if (faults.lostReplies < 1) return uniformFloat64(random) < faults.lostReplies;
  faults.lostReplies -= 1;
  return true;
}
