/**
 * The answer of one request while it is produced, shared by every connection that waits for it.
 *
 * The answer does not belong to a connection: a retry of the same request attaches to the same
 * answer and gets all of it, and a slow reader holds up nobody else. Memory is bounded by the output
 * limit of the request.
 */

import type { Refusal, Tokens } from '@flamingocourse/core';

/** Tokens of a finished model call. */
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
  readonly #waiting = new Set<() => void>();
  #end: AnswerEnd | undefined;
  #readers = 0;

  /** @param onAbandoned called when the last reader leaves before the end. */
  constructor(
    readonly requestId: string,
    readonly onAbandoned: () => void,
  ) {}

  /** Text deltas so far, in order. */
  get parts(): readonly string[] {
    return this.#parts;
  }

  /** Connections that wait for this answer. */
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
    this.#wake();
  }

  /** Ends the answer once; later calls change nothing. */
  finish(end: AnswerEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#wake();
  }

  /** Resolves when there are more than `seen` parts or the answer has ended. */
  async beyond(seen: number): Promise<void> {
    while (this.#parts.length <= seen && !this.#end) {
      await new Promise<void>((resolve) => this.#waiting.add(resolve));
    }
  }

  /** Registers a reader; the returned function takes it away, once. */
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

  #wake(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const resolve of waiting) resolve();
  }
}
