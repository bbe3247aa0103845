/** Random requests of the budget measurement, skewed over accounts and routers. */

import type { AccountId, EpochMs, Tokens } from '@flamingocourse/core';
import type { Random } from '../random.js';

/** One request before it is sent. */
export interface BudgetRequest {
  /** Time after the start of the load, in milliseconds. */
  atMs: number;
  account: AccountId;
  /** Index of the router that the caller uses. */
  router: number;
  /** Worst-case cost, reserved before dispatch. */
  worst: Tokens;
  /** Actual cost, known when the answer ends. */
  cost: Tokens;
  /** Time from dispatch to the end of the answer, in milliseconds. */
  durationMs: number;
}

/** A request with its outcome. */
export interface RequestRecord extends BudgetRequest {
  arrivedAt: EpochMs;
  /** `served`, or the reason for the refusal. */
  outcome: string;
  /** Duration of the reservation in milliseconds. */
  reserveMs: number;
  /** Duration of the bill in milliseconds; absent for refused requests. */
  billMs?: number;
  /** Identity of the bill that the router reported as stored. */
  billId?: string;
}

/** Parameters of a plan. */
export interface PlanSize {
  seconds: number;
  ratePerSecond: number;
  routers: number;
  accounts: readonly AccountId[];
}

/** Ratio of the loads of consecutive accounts and of consecutive routers. */
const SKEW = 0.6;

const MS_PER_SECOND = 1_000;
const PROMPT_TOKENS = { from: 50, to: 800 };
const MAX_OUTPUT_TOKENS = { from: 64, to: 512 };
const DURATION_MS = { from: 30, to: 400 };

/**
 * Generates a random plan of requests.
 *
 * @example
 * planRequests({ seconds: 10, ratePerSecond: 100, routers: 8, accounts: ['kirk'] }, createRandom(1));
 */
export function planRequests(size: PlanSize, random: Random): BudgetRequest[] {
  const accounts = withSkewedWeights(size.accounts);
  const routers = withSkewedWeights(Array.from({ length: size.routers }, (_, index) => index));
  const plan: BudgetRequest[] = [];
  let atMs = 0;
  for (;;) {
    // Exponential gaps make the arrivals a Poisson process.
    atMs += (-Math.log(1 - random.fraction()) * MS_PER_SECOND) / size.ratePerSecond;
    if (atMs >= size.seconds * MS_PER_SECOND) return plan;
    const account = random.pickWeighted(accounts).value;
    const router = random.pickWeighted(routers).value;
    plan.push({ atMs, account, router, ...drawCost(random) });
  }
}

/** Average use of a plan in tokens per second, by account. */
export function meanDemand(plan: BudgetRequest[], seconds: number): Map<AccountId, number> {
  const demand = new Map<AccountId, number>();
  for (const { account, cost } of plan) {
    demand.set(account, (demand.get(account) ?? 0) + cost / seconds);
  }
  return demand;
}

function drawCost(random: Random): Pick<BudgetRequest, 'worst' | 'cost' | 'durationMs'> {
  const prompt = random.int(PROMPT_TOKENS.from, PROMPT_TOKENS.to);
  const maxOutput = random.int(MAX_OUTPUT_TOKENS.from, MAX_OUTPUT_TOKENS.to);
  // The router derives an upper bound of the prompt from its bytes, so the actual count is lower.
  const actualPrompt = Math.ceil(prompt * (0.6 + 0.3 * random.fraction()));
  const output = Math.ceil(maxOutput * random.fraction());
  const durationMs = random.int(DURATION_MS.from, DURATION_MS.to);
  return { worst: prompt + maxOutput, cost: actualPrompt + output, durationMs };
}

function withSkewedWeights<T>(values: readonly T[]): { value: T; weight: number }[] {
  return values.map((value, index) => ({ value, weight: SKEW ** index }));
}
