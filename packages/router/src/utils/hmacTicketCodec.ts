/**
 * Ticket codec that signs with the fleet's shared secret, so that any router can verify a ticket.
 */

import type { AccountId, TicketId } from '@flamingocourse/core';
import type { IssuedTicket } from '../types/ticketCodec.js';
import { createHmac, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import { TicketCodec } from '../types/ticketCodec.js';

const MAC_BYTES = 12;
const MAX_TEXT_LENGTH = 1_024;

const payloadSchema = z.tuple([z.string(), z.number().int().nonnegative(), z.string()]);

/**
 * Implements {@link TicketCodec}. The text is the base64url of `[issuer, number, account]` in JSON,
 * a dot, and the base64url of an HMAC-SHA-256, truncated to 12 bytes.
 *
 * @example
 * const codec = new HmacTicketCodec(settings.fleetSecret);
 * const text = codec.format({ issuer: 'dc-a/router-1/0a1b', number: 7 }, 'shop-1');
 * codec.parse(text)?.account; // 'shop-1'
 */
export class HmacTicketCodec extends TicketCodec {
  readonly #secret: string;

  constructor(secret: string) {
    super();
    this.#secret = secret;
  }

  override format(ticket: TicketId, account: AccountId): string {
    const payload = JSON.stringify([ticket.issuer, ticket.number, account]);
    const encoded = Buffer.from(payload).toString('base64url');
    return `${encoded}.${this.#mac(encoded).toString('base64url')}`;
  }

  override parse(text: string): IssuedTicket | undefined {
    if (text.length > MAX_TEXT_LENGTH) return undefined;
    const [encoded, mac, ...rest] = text.split('.');
    if (encoded === undefined || mac === undefined || rest.length > 0) return undefined;
    // Compares the encoded texts, not the decoded bytes. The decoder ignores trailing characters,
    // so one ticket would otherwise have many valid texts, each of which could get a claim of its
    // own.
    const given = Buffer.from(mac);
    const expected = Buffer.from(this.#mac(encoded).toString('base64url'));
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) return undefined;
    const payload = payloadSchema.safeParse(parsePayload(encoded));
    if (!payload.success) return undefined;
    const [issuer, number, account] = payload.data;
    return { ticket: { issuer, number }, account };
  }

  #mac(encoded: string): Buffer {
    return createHmac('sha256', this.#secret).update(encoded).digest().subarray(0, MAC_BYTES);
  }
}

function parsePayload(encoded: string): unknown {
  try {
    return JSON.parse(Buffer.from(encoded, 'base64url').toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}
