/** Compares the answers that callers received with the bills. */

import type { AccountId, Bill, TicketId, Tokens } from '@flamingocourse/core';

/** A complete answer that a caller received. */
export interface SeenAnswer {
  account: AccountId;
  /** The caller's name for the request, used in violations. */
  key: string;
  /** Digest of the idempotency key, as the bill has it; absent if the caller sent no key. */
  keyDigest?: string;
  /** Ticket from the answer's id; absent if there was no id signed by this fleet. */
  ticket?: TicketId;
  /** Cost in tokens that the answer reported to the caller; absent if it reported none. */
  cost?: Tokens;
}

/** A request that was refused with `not-run`. */
export interface SeenNotRun {
  key: string;
  keyDigest: string;
}

/**
 * Lists, as sentences, answers without exactly one bill of the reported cost, tickets and keys with
 * more than one bill, and billed requests that were reported as not run.
 *
 * @example
 * auditBills({ answers, notRun: [], bills }); // [] when each answer has its bill
 */
export function auditBills(seen: {
  answers: readonly SeenAnswer[];
  notRun: readonly SeenNotRun[];
  bills: readonly Bill[];
}): string[] {
  const billsByTicket = groupBy(seen.bills, (bill) => ticketName(bill.holder, bill.ticket));
  const billsByKey = groupBy(
    seen.bills.filter((bill) => bill.keyDigest !== undefined),
    (bill) => bill.keyDigest ?? '',
  );
  const answersByKey = groupBy(seen.answers, (answer) => answer.key);
  return [
    ...[...answersByKey.values()].flatMap((answers) =>
      checkAnswers(answers, billsByTicket, billsByKey),
    ),
    ...findDuplicates(billsByTicket, 'request'),
    ...findDuplicates(billsByKey, 'key'),
    ...seen.notRun
      .filter(({ keyDigest }) => billsByKey.has(keyDigest))
      .map(({ key }) => `${key}: refused as not run but billed`),
  ];
}

/**
 * Checks all answers to one request. Several routers may have answered it, each with its own ticket.
 * All of them together must have exactly one bill, with one of the tickets or with the key.
 */
function checkAnswers(
  answers: readonly SeenAnswer[],
  billsByTicket: ReadonlyMap<string, Bill[]>,
  billsByKey: ReadonlyMap<string, Bill[]>,
): string[] {
  const key = answers[0]?.key ?? '';
  if (answers.some(({ ticket }) => !ticket))
    return [`${key}: an answer has no id signed by this fleet`];
  const ids = answers.map(({ ticket }) => ticketName(ticket?.issuer ?? '', ticket?.number ?? 0));
  const bills = new Set([
    ...ids.flatMap((id) => billsByTicket.get(id) ?? []),
    ...answers.flatMap(({ keyDigest }) => billsByKey.get(keyDigest ?? '') ?? []),
  ]);
  const [bill] = bills;
  if (!bill) return [`${key}: answered but not billed (${ids.join(', ')})`];
  if (bills.size > 1) {
    const tickets = [...bills].map((one) => ticketName(one.holder, one.ticket)).join(' and ');
    return [`${key}: one request with ${bills.size} bills (${tickets})`];
  }
  return answers.flatMap((answer) => checkCost(answer, bill));
}

function checkCost({ key, account, cost }: SeenAnswer, bill: Bill): string[] {
  if (bill.account !== account) return [`${key}: billed to ${bill.account}`];
  if (cost === undefined || bill.cost === cost) return [];
  return [`${key}: billed ${bill.cost}, reported to the caller as ${cost}`];
}

function findDuplicates(bills: ReadonlyMap<string, Bill[]>, what: string): string[] {
  return [...bills]
    .filter(([, duplicates]) => duplicates.length > 1)
    .map(([name, duplicates]) => {
      const tickets = duplicates.map((bill) => `${bill.holder}#${bill.ticket}`).join(' and ');
      return `${what} ${name} is billed ${duplicates.length} times: ${tickets}`;
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

function ticketName(holder: string, ticket: number): string {
  return `${holder}#${ticket}`;
}
