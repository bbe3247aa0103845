/** Buffers the whole body of a request, so that it can be sent again to another server. */

import type { IncomingMessage } from 'node:http';
import type { HeldBytes } from '@flamingocourse/kernel';
import { ByteCollector } from '@flamingocourse/kernel';

/**
 * Result of reading a body; `gone` if the caller disconnected first, `no-room` if the bodies of all
 * requests take too much memory.
 */
export type RequestBody =
  { type: 'whole'; bytes: Buffer } | { type: 'too-large' } | { type: 'no-room' } | { type: 'gone' };

/**
 * Reads up to `limit` bytes and as much as `held` allows; discards the rest.
 *
 * @example
 * const body = await readRequestBody(req, 1_048_576, buffers.open());
 */
export function readRequestBody(
  req: IncomingMessage,
  limit: number,
  held: HeldBytes,
): Promise<RequestBody> {
  return new Promise((resolve) => {
    const collector = new ByteCollector();
    const end = (body: RequestBody): void => {
      req.off('data', take);
      req.resume();
      collector.clear();
      resolve(body);
    };
    const take = (chunk: Buffer): void => {
      if (collector.size + chunk.length > limit) end({ type: 'too-large' });
      else if (held.addChunk(chunk.length)) collector.add(chunk);
      else end({ type: 'no-room' });
    };
    req.on('data', take);
    req.on('end', () => {
      end({ type: 'whole', bytes: collector.toBuffer() });
    });
    req.on('error', () => {
      end({ type: 'gone' });
    });
    req.on('close', () => {
      end({ type: 'gone' });
    });
  });
}
