/** Tickets as text for callers: url-safe and signed, so that a caller cannot make one up. */

import type { TicketId } from '../types/ids.js';
import { Result } from 'true-myth';

/** Signs text; gives url-safe text. Routers of a fleet share the key inside. */
export type SignText = (text: string) => string;

/** Why a text is not a ticket of this fleet. */
export type TicketFault = 'malformed' | 'forged';

const SEPARATOR = '.';
const PARTS = 3;
const NUMBER_RADIX = 36;

/**
 * Writes a ticket as text.
 *
 * @example
 * formatTicket({ issuer: 'dc-a/router-1/018f', number: 42 }, sign);
 */
export function formatTicket(ticket: TicketId, sign: SignText): string {
  const body = unsignedText(ticket);
  return body + SEPARATOR + sign(body);
}

/** Reads a ticket and checks its signature. */
export function verifyTicket(text: string, sign: SignText): Result<TicketId, TicketFault> {
  return parseTicket(text).andThen((ticket) =>
    equalTexts(text, formatTicket(ticket, sign)) ? Result.ok(ticket) : Result.err('forged'),
  );
}

/** Reads a ticket without checking who wrote it. */
export function parseTicket(text: string): Result<TicketId, TicketFault> {
  const parts = text.split(SEPARATOR);
  const [issuer, number] = parts;
  if (parts.length !== PARTS || !issuer || !number) return Result.err('malformed');
  const value = Number.parseInt(number, NUMBER_RADIX);
  if (!Number.isSafeInteger(value) || value < 0) return Result.err('malformed');
  try {
    return Result.ok({ issuer: decodeIssuer(issuer), number: value });
  } catch {
    return Result.err('malformed');
  }
}

function unsignedText(ticket: TicketId): string {
  return encodeIssuer(ticket.issuer) + SEPARATOR + ticket.number.toString(NUMBER_RADIX);
}

/** Url-safe without the separator: `~` in place of `%`, and dots escaped too. */
function encodeIssuer(issuer: string): string {
  return encodeURIComponent(issuer)
    .replaceAll('~', '%7E')
    .replaceAll('.', '%2E')
    .replaceAll('%', '~');
}

function decodeIssuer(text: string): string {
  return decodeURIComponent(text.replaceAll('~', '%'));
}

/** Compares without stopping at the first difference, which would let a signature be guessed. */
function equalTexts(left: string, right: string): boolean {
  if (left.length !== right.length) return false;
  let difference = 0;
  for (let at = 0; at < left.length; at += 1) {
    difference |= left.charCodeAt(at) ^ right.charCodeAt(at);
  }
  return difference === 0;
}
