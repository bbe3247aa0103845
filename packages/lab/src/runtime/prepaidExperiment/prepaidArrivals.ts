/** Arrivals of prepaid requests, drawn as the users' sheets describe them. */

import type { AccountId, Tokens } from '@flamingocourse/core';
import type { Random } from '../random.js';

/** One request as it comes in at an instance. */
export interface PrepaidArrival {
  /** Seconds from the start. */
  at: number;
  instance: string;
  account: AccountId;
  /** The most that it may use. */
  amount: Tokens;
  used: Tokens;
  /** Seconds until it is known what it used. */
  seconds: number;
}

/** Load and limits of one run. */
export interface PrepaidLoad {
  arrivals: PrepaidArrival[];
  limits: Map<AccountId, Tokens>;
  instances: string[];
}

/** A kind of request, by the sheet of the deployment with long reports and short notes. */
interface Kind {
  perSecond: number;
  promptTokens: number;
  /** Standard deviation of the logarithm of the prompt's length. */
  promptSpread: number;
  mostOutput: number;
  output: number;
  seconds: number;
}

const kinds: readonly Kind[] = [
  {
    perSecond: 11.6,
    promptTokens: 9_190,
    promptSpread: 0.5,
    mostOutput: 80,
    output: 52,
    seconds: 1,
  },
  {
    perSecond: 39.2,
    promptTokens: 826,
    promptSpread: 0.7,
    mostOutput: 430,
    output: 288,
    seconds: 3.5,
  },
];
/** Accounts with their parts of the load; a few are large. */
const accounts = [0.26, 0.16, 0.13, 0.1, 0.09, 0.08, 0.06, 0.05, 0.04, 0.03].map((weight, at) => ({
  name: `account-${String(at)}`,
  weight,
  at,
}));
/** Accounts that send several times their usual for a while, so that little is left of their limits. */
const hot = { accounts: [2, 3, 5], factor: 5, from: 16, seconds: 6 };
/** Each so many accounts one comes in at a single instance, as all its callers share a connection. */
const STICKY_EVERY = 5;
/** A limit as a multiple of what the account is expected to use. */
const LIMIT_FACTOR = 1.3;

/**
 * Draws a load.
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
    ...drawHot(kind, instances, random),
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

/** What the hot accounts send beyond their usual. */
function drawHot(kind: Kind, instances: readonly string[], random: Random): PrepaidArrival[] {
  return accounts
    .filter(({ at }) => hot.accounts.includes(at))
    .flatMap((account) => {
      const count = Math.round(kind.perSecond * account.weight * (hot.factor - 1) * hot.seconds);
      return Array.from({ length: count }, () => {
        const at = hot.from + random.fraction() * hot.seconds;
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
    amount: prompt + kind.mostOutput,
    used: prompt + kind.output,
    seconds: kind.seconds,
  };
}

/** A number of the standard normal distribution, by Box and Muller. */
function drawNormal(random: Random): number {
  return (
    Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction())
  );
}
