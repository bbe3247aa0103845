/**
 * Exact keys of states. Each distinct part of a state is serialized once and then identified by a
 * number, so that keys are short. Two states have the same key only if they are equal.
 */

import type { SystemState } from './types.js';

/** Computes the keys of the states of one walk. */
export class StateKeys {
  readonly #numberByText = new Map<string, number>();
  readonly #numberByPart = new WeakMap<object, number>();

  /** Key of a state: the numbers of its parts. */
  keyOf(system: SystemState): string {
    const parts: object[] = [
      system.ledger,
      system.claims,
      system.observed,
      system.fenced,
      ...Object.values(system.journals),
    ];
    for (const holder of Object.values(system.holders)) {
      const { view, history, sent, witness, run, config, storedSeq, ended } = holder;
      parts.push(view, history, sent, witness, run, config, { storedSeq, ended });
    }
    return parts.map((part) => this.#numberOf(part)).join(' ');
  }

  #numberOf(part: object): number {
    const known = this.#numberByPart.get(part);
    if (known !== undefined) return known;
    const text = JSON.stringify(part, sortKeys);
    const number = this.#numberByText.get(text) ?? this.#numberByText.size;
    this.#numberByText.set(text, number);
    this.#numberByPart.set(part, number);
    return number;
  }
}

/** `JSON.stringify` replacer that sorts the keys of objects, so that insertion order is ignored. */
function sortKeys(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return value;
  // JSON.stringify writes every Map as {}, which would give different states the same key.
  const entries =
    value instanceof Map ? [...(value as Map<string, unknown>)] : Object.entries(value);
  return Object.fromEntries(entries.sort(([left], [right]) => (left < right ? -1 : 1)));
}
