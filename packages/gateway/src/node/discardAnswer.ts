/** Reads the rest of an answer that nobody needs, so that its connection can be used again. */

import type { OpenAnswer } from './httpAttempt.js';
import { onTimeout } from '@flamingocourse/kernel';

/** Maximum size of such a rest, in bytes; a new connection costs less than to read more. */
const MAX_BYTES = 64 * 1024;
/** Maximum milliseconds in which it has to end. */
const MAX_MS = 300;

/**
 * Discards the body of an answer. A body that is long, or does not end, is abandoned with its
 * connection; otherwise a server that sends without end would occupy both for ever.
 *
 * @example
 * if (verdict === 'not-run') discardAnswer(opened.value);
 */
export function discardAnswer(answer: OpenAnswer): void {
  const { body } = answer;
  let bytes = 0;
  const stopTimer = onTimeout(MAX_MS, () => {
    answer.drop();
  });
  body.once('close', stopTimer);
  body.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_BYTES) answer.drop();
  });
}
