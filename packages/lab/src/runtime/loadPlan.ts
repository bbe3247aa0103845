/** Generates all requests of a run from its seed, before any of them is sent. */

import type { LoadOptions, MixItem, PlannedRequest } from '../types/load.js';
import type { Random } from './random.js';
import { createRandom } from './random.js';

/** Maximum number of requests of one run. */
export const MAX_REQUESTS = 200_000;

const DEFAULT_SHARE = 0.02;
const MS_PER_SECOND = 1_000;
const MAX_HANG_UP_TOKENS = 6;

/** Subjects of the prompts. Their only purpose is to make the prompts differ. */
const SUBJECTS = ['oak wardrobe', 'bunk bed', 'kitchen table', 'tow rope', 'K-21 glider', 'winch'];
const TASKS = ['describe', 'draft a listing for', 'say what is in stock of', 'summarise'];

type PlanOptions = Pick<
  LoadOptions,
  | 'targets'
  | 'accounts'
  | 'mix'
  | 'ratePerSecond'
  | 'seconds'
  | 'seed'
  | 'slowReaderShare'
  | 'hangUpShare'
>;

/**
 * Plans the arrivals of a run: a Poisson process with weighted random accounts, routers and classes.
 *
 * @example
 * const plan = planLoad({ targets, accounts, mix, ratePerSecond: 20, seconds: 10, seed: 3 });
 */
export function planLoad(options: PlanOptions): PlannedRequest[] {
  const random = createRandom(options.seed ?? 1);
  const plan: PlannedRequest[] = [];
  let atMs = nextGapMs(random, options.ratePerSecond);
  while (atMs < options.seconds * MS_PER_SECOND && plan.length < MAX_REQUESTS) {
    plan.push(planRequest(options, random, plan.length, atMs));
    atMs += nextGapMs(random, options.ratePerSecond);
  }
  return plan;
}

/** Weights proportional to 1/n (Zipf): a few large accounts and many small ones. */
export function skewedWeights(count: number): number[] {
  return Array.from({ length: count }, (_, index) => 1 / (index + 1));
}

function planRequest(
  options: PlanOptions,
  random: Random,
  number: number,
  atMs: number,
): PlannedRequest {
  const account = random.pickWeighted(options.accounts);
  const target = random.pickWeighted(options.targets);
  const item = random.pickWeighted(options.mix);
  const stream = item.type === 'chat' && random.chance(item.streamShare);
  return {
    number,
    atMs,
    account,
    firstTarget: options.targets.indexOf(target),
    item,
    key: `load-${options.seed ?? 1}-${number}`,
    stream,
    behaviour: stream ? drawBehaviour(options, random) : 'ordinary',
    hangUpAfter: random.int(1, MAX_HANG_UP_TOKENS),
    prompt: drawPrompt(item, account.name, number, random),
  };
}

function nextGapMs(random: Random, ratePerSecond: number): number {
  return (-Math.log(1 - random.fraction()) * MS_PER_SECOND) / ratePerSecond;
}

function drawBehaviour(options: PlanOptions, random: Random): PlannedRequest['behaviour'] {
  if (random.chance(options.hangUpShare ?? DEFAULT_SHARE)) return 'hang-up';
  if (random.chance(options.slowReaderShare ?? DEFAULT_SHARE)) return 'slow-reader';
  return 'ordinary';
}

function drawPrompt(item: MixItem, account: string, number: number, random: Random): string {
  const subject = random.pick(SUBJECTS);
  if (item.type !== 'chat') return subject;
  const prefix = Array.from(
    { length: item.sharedPrefixWords },
    (_, index) => `${account}-${item.workClass}-${index}`,
  );
  return [...prefix, random.pick(TASKS), 'the', subject, `no-${number}`].join(' ');
}
