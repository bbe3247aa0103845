/** Tickets signed with the fleet's shared secret, so that any router can check them. */

import type { AccountId, TicketId } from '@flamingocourse/core';
import type { IssuedTicket } from '../types/ticketCodec.js';
import { createHmac, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import { TicketCodec } from '../types/ticketCodec.js';

const MAC_BYTES = 12;
const MAX_TEXT_LENGTH = 1_024;

const payloadSchema = z.tuple([z.string(), z.number().int().nonnegative(), z.string()]);

/**
 * Text form: base64url of `[issuer, number, account]`, a dot, base64url of a truncated HMAC.
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
    // texts are compared, not bytes: decoding passes over trailing characters, so that one ticket
    // would have many texts and a claim under each of them.
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
