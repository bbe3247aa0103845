/** Compares an answer with the expected one. */

import { splitWords } from './answerText.js';

/** Faults of an answer in order of severity: foreign words are worse than missing ones. */
export type AnswerVerdict = 'mixed' | 'repeat' | 'reordered' | 'gap' | 'cut' | 'whole';

/**
 * Compares an answer with the expected text and returns its most severe fault.
 *
 * @example
 * checkAnswer('a.0 b.1 c.2', 'a.0 c.2'); // 'gap'
 */
export function checkAnswer(expected: string, received: string): AnswerVerdict {
  if (received === expected) return 'whole';
  if (expected.startsWith(received)) return 'cut';
  const indexes = indexesOf(splitWords(expected), splitWords(received));
  if (indexes.includes(-1)) return 'mixed';
  if (new Set(indexes).size < indexes.length) return 'repeat';
  if (indexes.some((value, at) => at > 0 && value < (indexes[at - 1] ?? 0))) {
    return 'reordered';
  }
  // All words occur once and in order, so either a word is missing or the whitespace differs.
  return 'gap';
}

/** Checks a partial answer: a correct beginning counts as `whole`. */
export function checkBeginning(expected: string, received: string): AnswerVerdict {
  const verdict = checkAnswer(expected, received);
  return verdict === 'cut' ? 'whole' : verdict;
}

/** Index of each received word in the expected answer, -1 for a foreign word. */
function indexesOf(expected: string[], received: string[]): number[] {
  const indexByWord = new Map(expected.map((word, index) => [word, index]));
  return received.map((word, at) => {
    const index = indexByWord.get(word);
    if (index !== undefined) return index;
    const isLast = at === received.length - 1;
    // A stream may end in the middle of its last word.
    const partial = isLast ? expected.findIndex((full) => full.startsWith(word)) : -1;
    return partial;
  });
}
