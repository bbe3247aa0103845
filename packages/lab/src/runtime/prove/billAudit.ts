/** Compares what callers saw with the bills. */

import type { AccountId, Bill, TicketId, Tokens } from '@flamingocourse/core';

/** A whole answer that a caller got. */
export interface SeenAnswer {
  account: AccountId;
  /** The caller's own name for the request. */
  key: string;
  /** Digest under which the bill carries an idempotency key; absent where none was sent. */
  keyDigest?: string;
  /** From the answer's id; absent when it had none that this fleet signed. */
  ticket?: TicketId;
  /** Tokens that the answer cost, as the caller was told; absent where it was not told. */
  cost?: Tokens;
}

/** A request that ended in `not-run`, with the digest of its key. */
export interface SeenNotRun {
  key: string;
  keyDigest: string;
}

/**
 * Names answers without exactly one bill of the right cost, and names billed more than once.
 *
 * @example
 * auditBills({ answers, notRun: [], bills }); // [] when each answer has its bill
 */
export function auditBills(seen: {
  answers: readonly SeenAnswer[];
  notRun: readonly SeenNotRun[];
  bills: readonly Bill[];
}): string[] {
  const byRequest = groupBy(seen.bills, (bill) => requestName(bill.holder, bill.ticket));
  const byKey = groupBy(
    seen.bills.filter((bill) => bill.keyDigest !== undefined),
    (bill) => bill.keyDigest ?? '',
  );
  const byName = groupBy(seen.answers, (answer) => answer.key);
  return [
    ...[...byName.values()].flatMap((answers) => judgeAnswers(answers, byRequest, byKey)),
    ...findRepeated(byRequest, 'request'),
    ...findRepeated(byKey, 'key'),
    ...seen.notRun
      .filter(({ keyDigest }) => byKey.has(keyDigest))
      .map(({ key }) => `${key} was refused as not run and is billed`),
  ];
}

/**
 * Judges all answers to one named request. Several routers may have answered it, each under an id of
 * its own: all of them together have one bill, under the id of one or under the key.
 */
function judgeAnswers(
  answers: readonly SeenAnswer[],
  byRequest: ReadonlyMap<string, Bill[]>,
  byKey: ReadonlyMap<string, Bill[]>,
): string[] {
  const key = answers[0]?.key ?? '';
  if (answers.some(({ ticket }) => !ticket)) return [`${key}: an answer has no id of this fleet`];
  const ids = answers.map(({ ticket }) => requestName(ticket?.issuer ?? '', ticket?.number ?? 0));
  const bills = new Set([
    ...ids.flatMap((id) => byRequest.get(id) ?? []),
    ...answers.flatMap(({ keyDigest }) => byKey.get(keyDigest ?? '') ?? []),
  ]);
  const [bill] = bills;
  if (!bill) return [`${key}: answered and not billed (${ids.join(', ')})`];
  if (bills.size > 1) {
    const holders = [...bills].map((one) => requestName(one.holder, one.ticket)).join(' and ');
    return [`${key}: one request with ${bills.size} bills (${holders})`];
  }
  return answers.flatMap((answer) => judgeCost(answer, bill));
}

function judgeCost({ key, account, cost }: SeenAnswer, bill: Bill): string[] {
  if (bill.account !== account) return [`${key}: billed to ${bill.account}`];
  if (cost === undefined || bill.cost === cost) return [];
  return [`${key}: billed ${bill.cost}, the caller was told ${cost}`];
}

function findRepeated(bills: ReadonlyMap<string, Bill[]>, what: string): string[] {
  return [...bills]
    .filter(([, lines]) => lines.length > 1)
    .map(([name, lines]) => {
      const holders = lines.map((bill) => `${bill.holder}#${bill.ticket}`).join(' and ');
      return `${what} ${name} is billed ${lines.length} times: ${holders}`;
    });
}

function groupBy<T>(items: readonly T[], nameOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const name = nameOf(item);
    groups.set(name, [...(groups.get(name) ?? []), item]);
  }
  return groups;
}

function requestName(holder: string, ticket: number): string {
  return `${holder}#${ticket}`;
}
