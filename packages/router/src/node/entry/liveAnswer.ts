/**
 * The answer of one request while it is produced, shared by all connections that wait for it.
 *
 * The answer is independent of any connection: a retry of the same request attaches to the same
 * answer and gets all of it, and a slow reader does not delay other readers. Memory is bounded by the
 * output limit of the request.
 */

import type { Refusal, Tokens } from '@flamingocourse/core';

/** Token usage of a finished model call. */
export interface Usage {
  promptTokens: Tokens;
  completionTokens: Tokens;
}

/** How an answer ended. */
export type AnswerEnd =
  | { type: 'chat'; finishReason: string; usage: Usage }
  | { type: 'plain'; status: number; contentType: string; body: Buffer }
  | { type: 'refused'; refusal: Refusal };

/** An answer in progress or finished. */
export class LiveAnswer {
  readonly #parts: string[] = [];
  readonly #waiters = new Set<() => void>();
  #end: AnswerEnd | undefined;
  #readers = 0;

  /** @param onAbandoned called when the last reader detaches before the end. */
  constructor(
    readonly requestId: string,
    readonly onAbandoned: () => void,
  ) {}

  /** Text deltas so far, in order. */
  get parts(): readonly string[] {
    return this.#parts;
  }

  /** Number of connections that wait for this answer. */
  get readers(): number {
    return this.#readers;
  }

  get end(): AnswerEnd | undefined {
    return this.#end;
  }

  /** Adds a text delta; ignored after the end. */
  append(text: string): void {
    if (this.#end) return;
    this.#parts.push(text);
    this.#notifyWaiters();
  }

  /** Ends the answer; later calls have no effect. */
  finish(end: AnswerEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#notifyWaiters();
  }

  /** Resolves when there are more than `seen` parts or the answer has ended. */
  async waitForMoreThan(seen: number): Promise<void> {
    while (this.#parts.length <= seen && !this.#end) {
      await new Promise<void>((resolve) => this.#waiters.add(resolve));
    }
  }

  /** Registers a reader; the returned function removes it, and later calls of it have no effect. */
  attach(): () => void {
    this.#readers += 1;
    let attached = true;
    return () => {
      if (!attached) return;
      attached = false;
      this.#readers -= 1;
      if (this.#readers === 0 && !this.#end) this.onAbandoned();
    };
  }

  #notifyWaiters(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const resolve of waiters) resolve();
  }
}
