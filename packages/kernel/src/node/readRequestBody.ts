/** Buffers the whole body of a request, so that it can be sent again to another server. */

import type { IncomingMessage } from 'node:http';
import type { BodyBuffers } from '../runtime/heldBytes.js';
import { ByteCollector } from '../runtime/byteCollector.js';

/**
 * Result of reading a body; `gone` if the caller disconnected first, `no-room` if the bodies of all
 * requests take too much memory.
 */
export type RequestBody =
  { type: 'whole'; bytes: Buffer } | { type: 'too-large' } | { type: 'no-room' } | { type: 'gone' };

/** A body that is being read. */
export interface BodyRead {
  body: Promise<RequestBody>;
  /** Ends the count of what is held of it; call it when the request has ended. */
  release: () => void;
}

/**
 * Reads up to `limit` bytes and as much as `buffers` allows; discards the rest.
 *
 * @example
 * const { body, release } = readRequestBody(req, 1_048_576, buffers);
 * const read = await body;
 */
export function readRequestBody(
  req: IncomingMessage,
  limit: number,
  buffers: BodyBuffers,
): BodyRead {
  const collector = new ByteCollector();
  let end: (body: RequestBody) => void = () => undefined;
  const held = buffers.open(() => {
    end({ type: 'no-room' });
  });
  const take = (chunk: Buffer): void => {
    if (collector.size + chunk.length > limit) end({ type: 'too-large' });
    else if (held.set(collector.size + chunk.length)) collector.add(chunk);
    else end({ type: 'no-room' });
  };
  const body = new Promise<RequestBody>((resolve) => {
    end = (read) => {
      req.off('data', take);
      req.resume();
      collector.clear();
      resolve(read);
    };
    req.on('data', take);
    req.on('end', () => {
      held.keep();
      end({ type: 'whole', bytes: collector.toBuffer() });
    });
    req.on('error', () => {
      end({ type: 'gone' });
    });
    req.on('close', () => {
      end({ type: 'gone' });
    });
  });
  return {
    body,
    release: () => {
      held.release();
    },
  };
}
