/** Fault switches of one entrance of the platform stand-in. */

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { z } from 'zod';

/** Schema of the switches; a switch that is left out keeps its setting. */
export const entranceFaultsSchema = z.object({
  /** `refuse`: 503 at once. `silent`: connections are taken and never answered. */
  outage: z.enum(['none', 'refuse', 'silent']),
  /** Milliseconds before each call is handled. */
  latencyMs: z.number().min(0),
  /** From 1: that many coming writes lose their reply. Below 1: probability for each write. */
  lostReplies: z.number().min(0),
  /** Watches stay open and say nothing. */
  freezeWatch: z.boolean(),
});

export type EntranceFaults = z.infer<typeof entranceFaultsSchema>;

/** Body of `POST /control/faults`. */
export const faultOrderSchema = entranceFaultsSchema
  .partial()
  .extend({ dataCentre: z.string().default('all') });

/** An entrance without faults. */
export function createEntranceFaults(): EntranceFaults {
  return { outage: 'none', latencyMs: 0, lostReplies: 0, freezeWatch: false };
}

/** Decides whether a write's reply gets lost, and counts it off. */
export function takeLostReply(faults: EntranceFaults, random: RandomGenerator): boolean {
  if (faults.lostReplies === 0) return false;
  if (faults.lostReplies < 1) return uniformFloat64(random) < faults.lostReplies;
  faults.lostReplies -= 1;
  return true;
}
