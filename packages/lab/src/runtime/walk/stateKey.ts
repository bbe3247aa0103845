/**
 * Exact keys of states. Parts that states share are written out once and then known by number, so a
 * key is short; two states have the same key only if they are equal.
 */

import type { World } from './types.js';

/** Gives keys of states of one walk. */
export class StateKeys {
  readonly #numbers = new Map<string, number>();
  readonly #known = new WeakMap<object, number>();

  /** Key of a state. */
  keyOf(world: World): string {
    const parts: object[] = [
      world.ledger,
      world.claims,
      world.observed,
      world.fenced,
      ...Object.values(world.journals),
    ];
    for (const holder of Object.values(world.holders)) {
      const { view, history, sent, witness, run, config, keptSeq, ended } = holder;
      parts.push(view, history, sent, witness, run, config, { keptSeq, ended });
    }
    return parts.map((part) => this.#numberOf(part)).join(' ');
  }

  #numberOf(part: object): number {
    const known = this.#known.get(part);
    if (known !== undefined) return known;
    const text = JSON.stringify(part, sortKeys);
    const number = this.#numbers.get(text) ?? this.#numbers.size;
    this.#numbers.set(text, number);
    this.#known.set(part, number);
    return number;
  }
}

/** Writes the keys of objects in order, whatever order they were added in. */
function sortKeys(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return value;
  // JSON writes every map as {}, so that different states would pass for the same.
  const entries =
    value instanceof Map ? [...(value as Map<string, unknown>)] : Object.entries(value);
  return Object.fromEntries(entries.sort(([left], [right]) => (left < right ? -1 : 1)));
}
