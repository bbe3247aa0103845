/** Random arrivals of prepaid requests, modelled on the load that the users described. */

import type { AccountId, Tokens } from '@flamingocourse/core';
import type { Random } from '../random.js';

/** One request that arrives at an instance. */
export interface PrepaidArrival {
  /** Seconds from the start. */
  at: number;
  instance: string;
  account: AccountId;
  /** Maximum number of tokens that it may use. */
  amount: Tokens;
  /** Tokens that it uses. */
  used: Tokens;
  /** Duration in seconds, after which its use is known. */
  seconds: number;
}

/** Load and limits of one run. */
export interface PrepaidLoad {
  arrivals: PrepaidArrival[];
  limits: Map<AccountId, Tokens>;
  instances: string[];
}

/** A kind of request of a deployment with long reports and short notes. Lengths are in tokens. */
interface Kind {
  perSecond: number;
  promptTokens: number;
  /** Standard deviation of the logarithm of the prompt's length. */
  promptSpread: number;
  maxOutput: number;
  output: number;
  seconds: number;
}

const kinds: readonly Kind[] = [
  {
    perSecond: 11.6,
    promptTokens: 9_190,
    promptSpread: 0.5,
    maxOutput: 80,
    output: 52,
    seconds: 1,
  },
  {
    perSecond: 39.2,
    promptTokens: 826,
    promptSpread: 0.7,
    maxOutput: 430,
    output: 288,
    seconds: 3.5,
  },
];
/** Accounts with their fractions of the load; a few are large. */
const accounts = [0.26, 0.16, 0.13, 0.1, 0.09, 0.08, 0.06, 0.05, 0.04, 0.03].map((weight, at) => ({
  name: `account-${String(at)}`,
  weight,
  at,
}));
/** Accounts that send `factor` times their usual load for a while, which nearly uses up their limits. */
const burst = { accounts: [2, 3, 5], factor: 5, from: 16, seconds: 6 };
/** One in this many accounts uses a single instance, because its callers share a connection. */
const STICKY_EVERY = 5;
/** Limit of an account as a multiple of its expected use. */
const LIMIT_FACTOR = 1.3;

/**
 * Generates a random load.
 *
 * @example
 * const load = drawPrepaidLoad({ seconds: 55, instances: 7 }, createRandom(1));
 */
export function drawPrepaidLoad(
  options: { seconds: number; instances: number },
  random: Random,
): PrepaidLoad {
  const instances = Array.from({ length: options.instances }, (_, at) => `i${String(at)}`);
  const arrivals = kinds.flatMap((kind) => [
    ...drawKind(kind, options.seconds, instances, random),
    ...drawBurst(kind, instances, random),
  ]);
  const tokensPerSecond = kinds.reduce((sum, kind) => {
    return sum + kind.perSecond * (kind.promptTokens + kind.output);
  }, 0);
  const expected = tokensPerSecond * options.seconds * LIMIT_FACTOR;
  const limits = accounts.map(({ name, weight }): [AccountId, Tokens] => {
    return [name, Math.round(weight * expected)];
  });
  arrivals.sort((a, b) => a.at - b.at);
  return { arrivals, limits: new Map(limits), instances };
}

/** Generates the additional requests of the burst. */
function drawBurst(kind: Kind, instances: readonly string[], random: Random): PrepaidArrival[] {
  return accounts
    .filter(({ at }) => burst.accounts.includes(at))
    .flatMap((account) => {
      const count = Math.round(
        kind.perSecond * account.weight * (burst.factor - 1) * burst.seconds,
      );
      return Array.from({ length: count }, () => {
        const at = burst.from + random.fraction() * burst.seconds;
        return drawArrival(kind, account, at, instances, random);
      });
    });
}

function drawKind(
  kind: Kind,
  seconds: number,
  instances: readonly string[],
  random: Random,
): PrepaidArrival[] {
  const count = Math.round(kind.perSecond * seconds);
  return Array.from({ length: count }, () => {
    const account = random.pickWeighted(accounts);
    return drawArrival(kind, account, random.fraction() * seconds, instances, random);
  });
}

function drawArrival(
  kind: Kind,
  account: (typeof accounts)[number],
  at: number,
  instances: readonly string[],
  random: Random,
): PrepaidArrival {
  const isSticky = account.at % STICKY_EVERY === 1;
  const sticky = isSticky ? instances[account.at % instances.length] : undefined;
  const deviation = kind.promptSpread * drawNormal(random) - kind.promptSpread ** 2 / 2;
  const prompt = Math.round(kind.promptTokens * Math.exp(deviation));
  return {
    at,
    instance: sticky ?? random.pick(instances),
    account: account.name,
    amount: prompt + kind.maxOutput,
    used: prompt + kind.output,
    seconds: kind.seconds,
  };
}

/** Draws from the standard normal distribution with the Box-Muller transform. */
function drawNormal(random: Random): number {
  return (
    Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction())
  );
}
