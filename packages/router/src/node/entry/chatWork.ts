/**
 * A model call: streams from one engine and resumes on another engine if the first one fails.
 *
 * The text delivered so far is sent to the next engine as the start of the assistant's message, and
 * the output limit is reduced by the tokens delivered. The caller gets one continuous text with
 * nothing repeated or missing.
 */

import type { Tokens } from '@flamingocourse/core';
import type { BillDetails } from '../../types/money.js';
import type { EngineOutcome } from '../backends/engineAttempt.js';
import type { PlacementOutcome, Placement } from '../../types/backends.js';
import type { ChatRequest } from './callerRequest.js';
import type { Execution } from './executionTable.js';
import type { WorkEnd } from './work.js';
import { digest } from '../../utils/digest.js';
import { runEngineAttempt } from '../backends/engineAttempt.js';
import { backendFailed, outcomeUnknown, Work } from './work.js';

/**
 * Tokens that the chat template adds per message, for the upper bound of a prompt. A token covers at
 * least one byte of UTF-8, so the bound counts bytes and adds a few template tokens per message.
 */
const TEMPLATE_TOKENS_PER_MESSAGE = 8;
/** Common estimate, used only if an engine's answer ended before it reported its usage. */
const BYTES_PER_TOKEN_ESTIMATE = 4;
/** Length of the prompt prefix; requests with the same prefix go to the same prompt cache. */
const PREFIX_KEY_CHARACTERS = 256;
const MIN_STALL_MS = 1_000;

/** Progress of a model call across attempts. */
interface Progress {
  attempts: number;
  delivered: number;
  firstTokenAt: number | undefined;
}

/** Runs a model call. */
export class ChatWork extends Work<ChatRequest> {
  override worstCase(): Tokens {
    return this.#promptUpperBound() + this.request.maxTokens;
  }

  override async run(execution: Execution): Promise<WorkEnd> {
    const progress: Progress = { attempts: 0, delivered: 0, firstTokenAt: undefined };
    for (;;) {
      const placed = await this.place(execution);
      if (placed.isErr) {
        if (execution.abort.signal.aborted) return this.#cancelled(execution, progress);
        const refusal = execution.dispatched
          ? backendFailed(placed.error.detail, true)
          : placed.error;
        return { type: 'refused', refusal };
      }
      const end = await this.#attempt(execution, placed.value, progress);
      const workEnd = this.#endOrRetry(end, execution, progress);
      if (workEnd) return workEnd;
    }
  }

  protected override prefixKey(): string {
    const text = JSON.stringify(this.request.body.messages).slice(0, PREFIX_KEY_CHARACTERS);
    return digest(this.request.service.name, text);
  }

  async #attempt(
    execution: Execution,
    placement: Placement,
    progress: Progress,
  ): Promise<EngineOutcome> {
    progress.attempts += 1;
    execution.dispatched = true;
    const startedAt = this.context.clock.now();
    let firstTokenMs: number | undefined;
    placement.recordSent();
    const end = await runEngineAttempt({
      url: placement.server.url,
      nonce: this.nonce(execution, progress.attempts),
      body: this.#engineBody(execution, placement.priority, progress.delivered),
      maxChunks: this.request.maxTokens - progress.delivered,
      stallMs: Math.max(MIN_STALL_MS, this.remainingMs() / 2),
      signal: execution.abort.signal,
      onText: (text) => {
        firstTokenMs ??= this.context.clock.now() - startedAt;
        progress.delivered += 1;
        execution.answer.append(text);
      },
    });
    placement.end(attemptEndOf(end), firstTokenMs);
    if (end.type === 'not-sent' && progress.attempts === 1) execution.dispatched = false;
    return end;
  }

  /** Returns the end of the request after an attempt, or undefined if it is to be retried. */
  #endOrRetry(end: EngineOutcome, execution: Execution, progress: Progress): WorkEnd | undefined {
    switch (end.type) {
      case 'done':
        return this.#completed(end, progress);
      case 'cancelled':
        return this.#cancelled(execution, progress);
      case 'rejected':
        if (end.status >= 500 || end.status === 429) break;
        return {
          type: 'refused',
          refusal: {
            reason: 'bad-request',
            run: 'not-run',
            detail: `The model server refused the request (${end.status}): ${end.detail}`,
          },
        };
      case 'leaving':
      case 'not-sent':
        // nothing ran, so another server may run it even if its class is not idempotent.
        if (this.#mayTryAnotherServer(progress)) return undefined;
        return {
          type: 'refused',
          refusal: backendFailed(describeEnd(end), progress.delivered > 0),
        };
      case 'failed':
      case 'crashed':
      case 'timed-out':
        break;
    }
    // all tokens were delivered and only the final event is missing: nothing is left to generate.
    if (progress.delivered >= this.request.maxTokens) {
      return this.#completed({ type: 'done', finishReason: 'length' }, progress);
    }
    if (this.request.idempotent && this.#mayTryAnotherServer(progress)) return undefined;
    const refusal = this.request.idempotent
      ? backendFailed(describeEnd(end), true)
      : outcomeUnknown(describeEnd(end));
    return { type: 'refused', refusal };
  }

  #mayTryAnotherServer(progress: Progress): boolean {
    return this.mayRetry(progress.attempts) && this.remainingMs() > 1;
  }

  #completed(end: EngineOutcome & { type: 'done' }, progress: Progress): WorkEnd {
    const completionTokens = progress.delivered;
    const reported = end.usage
      ? end.usage.promptTokens + end.usage.completionTokens - completionTokens
      : this.#promptEstimate();
    const details = this.#billDetails(Math.max(0, reported), completionTokens);
    return {
      type: 'whole',
      details,
      end: {
        type: 'chat',
        finishReason: end.finishReason,
        usage: { promptTokens: details.promptTokens, completionTokens },
      },
    };
  }

  #cancelled(execution: Execution, progress: Progress): WorkEnd {
    if (!execution.dispatched) return { type: 'cancelled' };
    return {
      type: 'cancelled',
      details: this.#billDetails(this.#promptEstimate(), progress.delivered),
    };
  }

  #billDetails(promptTokens: Tokens, completionTokens: Tokens): BillDetails {
    // a resumed attempt reports the template's tokens again. The usage sent to the caller is what is
    // billed, which never exceeds the reservation.
    const cost = Math.min(this.worstCase(), promptTokens + completionTokens);
    const billedPrompt = cost - completionTokens;
    return {
      service: this.request.service.name,
      cost,
      promptTokens: billedPrompt,
      completionTokens,
    };
  }

  #engineBody(execution: Execution, priority: number, delivered: number): string {
    const { body, maxTokens } = this.request;
    const resumed = delivered > 0;
    const partial = { role: 'assistant', content: execution.answer.parts.join('') };
    return JSON.stringify({
      ...body,
      messages: resumed ? [...body.messages, partial] : body.messages,
      stream: true,
      stream_options: { include_usage: true },
      max_tokens: maxTokens - delivered,
      max_completion_tokens: undefined,
      priority,
      ...(resumed ? { continue_final_message: true, add_generation_prompt: false } : {}),
    });
  }

  #promptUpperBound(): Tokens {
    return this.#promptBytes() + this.request.body.messages.length * TEMPLATE_TOKENS_PER_MESSAGE;
  }

  #promptEstimate(): Tokens {
    return Math.ceil(this.#promptBytes() / BYTES_PER_TOKEN_ESTIMATE);
  }

  #promptBytes(): number {
    return this.request.body.messages.reduce((sum, message) => {
      const { content } = message;
      if (content === undefined || content === null) return sum;
      const text = typeof content === 'string' ? content : JSON.stringify(content);
      return sum + Buffer.byteLength(text);
    }, 0);
  }
}

function attemptEndOf(end: EngineOutcome): PlacementOutcome {
  switch (end.type) {
    case 'done':
      return 'ok';
    case 'not-sent':
    case 'failed':
      return 'failed';
    case 'rejected':
      return end.status >= 500 ? 'failed' : 'ok';
    case 'leaving':
    case 'crashed':
    case 'timed-out':
    case 'cancelled':
      return end.type;
  }
}

function describeEnd(end: EngineOutcome): string {
  switch (end.type) {
    case 'timed-out':
      return 'The model server stopped sending; try again.';
    case 'leaving':
      return 'The model server is leaving; try again.';
    case 'rejected':
      return `The model server answered ${end.status}.`;
    case 'not-sent':
    case 'failed':
    case 'crashed':
      return `The model server failed: ${end.detail}.`;
    case 'done':
    case 'cancelled':
      return end.type;
  }
}
