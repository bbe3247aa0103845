/** Records the outcomes that callers observed, for comparison with bills and runs. */

import type { Bill } from '@flamingocourse/core';
import type { SeenAnswer, SeenNotRun } from '../../runtime/prove/billAudit.js';
import type { AttemptOutcome, EntryOutcome, PlannedRequest } from '../../types/load.js';
import { entryOf, setEntry } from '@flamingocourse/core';
import { digest, HmacTicketCodec } from '@flamingocourse/router';
import { auditBills } from '../../runtime/prove/billAudit.js';
import { TOKENS_PER_CALL } from './proveDeclarations.js';

/** Outcomes of the attempts of all callers of a run. */
export class CallerLog {
  readonly answers: SeenAnswer[] = [];
  /** Last outcome of each non-idempotent request; an answer overrides all later outcomes. */
  readonly entries: Record<string, EntryOutcome> = {};
  /** Descriptions of answers, complete or not, that are cut or belong to another caller. */
  readonly badAnswers: string[] = [];
  attempts = 0;
  readonly #tickets: HmacTicketCodec;
  readonly #notRun = new Map<string, string>();
  readonly #answered = new Set<string>();

  constructor(fleetSecret: string) {
    this.#tickets = new HmacTicketCodec(fleetSecret);
  }

  /** Records the outcome of an attempt. */
  add(request: PlannedRequest, end: AttemptOutcome): void {
    this.attempts += 1;
    if ('verdict' in end && end.verdict !== 'whole') {
      this.badAnswers.push(`${request.key}: ${end.type} with a ${end.verdict} answer`);
    }
    if (request.item.type === 'entry') this.#addEntry(request.key, end);
    if (end.type === 'answer') this.#addAnswer(request, end);
    this.#addNotRun(request, end);
  }

  /** Compares the outcomes with the bills; returns descriptions of the differences. */
  auditBills(bills: readonly Bill[]): string[] {
    const notRun: SeenNotRun[] = [...this.#notRun].map(([key, keyDigest]) => ({ key, keyDigest }));
    return auditBills({ answers: this.answers, notRun, bills });
  }

  #addEntry(key: string, end: AttemptOutcome): void {
    if (entryOf(this.entries, key) === 'entered') return;
    if (end.type === 'answer') setEntry(this.entries, key, 'entered');
    else if (end.type === 'refused' && end.run === 'not-run')
      setEntry(this.entries, key, 'not-run');
    else setEntry(this.entries, key, 'unknown');
  }

  #addAnswer(request: PlannedRequest, end: AttemptOutcome & { type: 'answer' }): void {
    const { item, account, key } = request;
    const issued = end.requestId === undefined ? undefined : this.#tickets.parse(end.requestId);
    const usage = end.usage && end.usage.promptTokens + end.usage.completionTokens;
    const cost = item.type === 'chat' ? usage : TOKENS_PER_CALL;
    this.#answered.add(key);
    this.answers.push({
      account: account.name,
      key,
      ...(issued ? { ticket: issued.ticket } : {}),
      ...(cost === undefined ? {} : { cost }),
      ...(item.naming === 'key' ? { keyDigest: digest(account.name, key) } : {}),
    });
  }

  /** Only the last outcome counts: one router may refuse a request that another then answers. */
  #addNotRun({ item, account, key }: PlannedRequest, end: AttemptOutcome): void {
    const refused = end.type === 'refused' && end.run === 'not-run';
    if (refused && item.naming === 'key' && !this.#answered.has(key)) {
      this.#notRun.set(key, digest(account.name, key));
    } else this.#notRun.delete(key);
  }
}
