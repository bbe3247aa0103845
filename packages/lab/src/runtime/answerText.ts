/**
 * The answers of the model engine stand-in, which depend only on the prompt and the seed.
 *
 * Each word is one token and contains its index. A caller can compute the whole answer from its
 * prompt and tell a truncation, a repeat, a gap and another caller's words apart.
 */

import { createHash } from 'node:crypto';

/** One message of a chat request. */
export interface PromptMessage {
  role: string;
  content: string;
}

/** The whole answer of the engine, and how much of it is already written. */
export interface AnswerTask {
  /** All words of the uninterrupted answer. */
  words: string[];
  /** Number of words that the caller already has. */
  delivered: number;
}

const MIN_ANSWER_WORDS = 8;
const MAX_ANSWER_WORDS = 40;
const LARGEST_ANSWER_WORDS = 4_000;
const TOKENS_PER_MESSAGE = 4;
const CONSONANTS = 'bdfgklmnprstvzhj';
const VOWELS = 'aeiou';
const SYLLABLES_PER_WORD = 4;

/** A word such as `words=200` in the prompt requests an answer of that length. */
const LENGTH_REQUEST = /\bwords=(\d{1,4})\b/;

/** Splits text into words, which are the engine's tokens. */
export function splitWords(text: string): string[] {
  return text.split(/\s+/).filter((word) => word !== '');
}

/**
 * Counts prompt tokens: the words of all messages and a fixed number of tokens for each message. A
 * final message that is continued gets no such tokens. In a real engine, too, it replaces the opening
 * of the answer.
 */
export function countPromptTokens(
  messages: readonly PromptMessage[],
  continueFinal = false,
): number {
  const words = messages.reduce((sum, message) => sum + splitWords(message.content).length, 0);
  const framedMessages = continueFinal ? messages.length - 1 : messages.length;
  return words + TOKENS_PER_MESSAGE * framedMessages;
}

/**
 * Computes the answer that a caller must get.
 *
 * @example
 * const text = expectedAnswer([{ role: 'user', content: 'describe a bed' }], 1, 64);
 */
export function expectedAnswer(
  messages: readonly PromptMessage[],
  seed: number,
  maxTokens: number,
): string {
  return answerWords(digestPrompt(messages, seed), requestedLength(messages))
    .slice(0, maxTokens)
    .join(' ');
}

/**
 * Plans an answer. With `continueFinal` the last message is the beginning of the answer.
 *
 * A beginning that the engine would not have written gets a continuation that depends on it, as with
 * a real model. A caller that resumes an answer incorrectly therefore gets a foreign word.
 */
export function planAnswer(
  messages: readonly PromptMessage[],
  seed: number,
  continueFinal: boolean,
): AnswerTask {
  const last = messages.at(-1);
  if (!continueFinal || last?.role !== 'assistant') {
    return {
      words: answerWords(digestPrompt(messages, seed), requestedLength(messages)),
      delivered: 0,
    };
  }
  const prompt = messages.slice(0, -1);
  const words = answerWords(digestPrompt(prompt, seed), requestedLength(prompt));
  const soFar = splitWords(last.content);
  const matches = soFar.every((word, index) => word === words[index]);
  if (matches) return { words, delivered: soFar.length };
  const rest = answerWords(digestPrompt(messages, seed), words.length);
  return { words: [...soFar, ...rest.slice(soFar.length)], delivered: soFar.length };
}

function requestedLength(messages: readonly PromptMessage[]): number | undefined {
  for (const message of messages) {
    const match = LENGTH_REQUEST.exec(message.content);
    if (match) return Math.min(Number(match[1]), LARGEST_ANSWER_WORDS);
  }
  return undefined;
}

function digestPrompt(messages: readonly PromptMessage[], seed: number): Buffer {
  const parts = messages.map((message) => [message.role, message.content]);
  return createHash('sha256')
    .update(JSON.stringify([seed, parts]))
    .digest();
}

function answerWords(digest: Buffer, length: number | undefined): string[] {
  const range = MAX_ANSWER_WORDS - MIN_ANSWER_WORDS + 1;
  const count = length ?? MIN_ANSWER_WORDS + (digest.readUInt32BE(0) % range);
  return Array.from({ length: count }, (_, index) => createWord(digest, index));
}

function createWord(digest: Buffer, index: number): string {
  const bytes = createHash('sha256').update(digest).update(String(index)).digest();
  let word = '';
  for (let at = 0; at < SYLLABLES_PER_WORD; at += 1) {
    word += CONSONANTS.charAt(bytes.readUInt8(2 * at) % CONSONANTS.length);
    word += VOWELS.charAt(bytes.readUInt8(2 * at + 1) % VOWELS.length);
  }
  return `${word}.${index}`;
}
