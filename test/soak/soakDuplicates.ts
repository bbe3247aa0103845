/** Which responses of a server are sent again on their connection, when and in which parts. */

import type { Random } from '../../packages/lab/src/runtime/random.js';

/** Fraction of the responses that are sent again. */
const FRACTION = 0.12;
/** Maximum milliseconds from the end of a response to its copy. */
const MAX_DELAY_MS = 400;
/** Fraction of the copies that are sent in two writes. */
const SPLIT_FRACTION = 0.5;
/** Maximum milliseconds between these two writes. */
const MAX_GAP_MS = 60;

/** Position of a copy among the responses of its connection. */
export type CopyMoment =
  /** After a delay: while the connection is idle, or while the next request runs. */
  | 'later'
  /** When the next request has arrived, before its response and before its whole body. */
  | 'before-next'
  /** Directly after the end of the next response. */
  | 'after-next';

const MOMENTS: readonly { moment: CopyMoment; weight: number }[] = [
  { moment: 'later', weight: 3 },
  { moment: 'before-next', weight: 1 },
  { moment: 'after-next', weight: 1 },
];

export interface CopyPlan {
  moment: CopyMoment;
  delayMs: number;
  /** Fraction of the bytes in the first of two writes; undefined for one write. */
  splitAt: number | undefined;
  gapMs: number;
}

/** Decides whether and how a response is sent again. */
export function planCopy(random: Random): CopyPlan | undefined {
  if (!random.chance(FRACTION)) return undefined;
  return {
    moment: random.pickWeighted(MOMENTS).moment,
    delayMs: random.int(0, MAX_DELAY_MS),
    splitAt: random.chance(SPLIT_FRACTION) ? random.fraction() : undefined,
    gapMs: random.int(0, MAX_GAP_MS),
  };
}

/** The writes of a copy; a split leaves at least one byte on each side. */
export function writesOf(bytes: Buffer, splitAt: number | undefined): Buffer[] {
  if (splitAt === undefined || bytes.length < 2) return [bytes];
  const at = 1 + Math.floor(splitAt * (bytes.length - 1));
  return [bytes.subarray(0, at), bytes.subarray(at)];
}
