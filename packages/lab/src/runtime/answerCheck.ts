/** Compares an answer with the one that the caller must get. */

import { splitWords } from './answerText.js';

/** What is wrong with an answer, the gravest first: another's words weigh more than missing ones. */
export type AnswerVerdict = 'mixed' | 'repeat' | 'reordered' | 'gap' | 'cut' | 'whole';

/**
 * Judges an answer against the expected text.
 *
 * @example
 * checkAnswer('a.0 b.1 c.2', 'a.0 c.2'); // 'gap'
 */
export function checkAnswer(expected: string, received: string): AnswerVerdict {
  if (received === expected) return 'whole';
  if (expected.startsWith(received)) return 'cut';
  const places = placesOf(splitWords(expected), splitWords(received));
  if (places.includes(-1)) return 'mixed';
  if (new Set(places).size < places.length) return 'repeat';
  if (places.some((place, index) => index > 0 && place < (places[index - 1] ?? 0))) {
    return 'reordered';
  }
  // all words stand once and in order here: either one is missing, or the spaces are wrong.
  return 'gap';
}

/** Judges a part of an answer: a clean beginning counts as whole. */
export function checkBeginning(expected: string, received: string): AnswerVerdict {
  const verdict = checkAnswer(expected, received);
  return verdict === 'cut' ? 'whole' : verdict;
}

/** Place of each received word in the expected answer, -1 for a foreign one. */
function placesOf(expected: string[], received: string[]): number[] {
  const placeByWord = new Map(expected.map((word, place) => [word, place]));
  return received.map((word, index) => {
    const place = placeByWord.get(word);
    if (place !== undefined) return place;
    const last = index === received.length - 1;
    // a stream may break inside its last word.
    const begun = last ? expected.findIndex((full) => full.startsWith(word)) : -1;
    return begun;
  });
}
