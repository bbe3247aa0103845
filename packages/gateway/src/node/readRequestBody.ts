/** Buffers the whole body of a request, so that it can be sent again to another server. */

import type { IncomingMessage } from 'node:http';

/** Result of reading a body; `gone` if the caller disconnected first. */
export type RequestBody =
  { type: 'whole'; bytes: Buffer } | { type: 'too-large' } | { type: 'gone' };

/** Reads up to `limit` bytes; discards the rest. */
export function readRequestBody(req: IncomingMessage, limit: number): Promise<RequestBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
      else resolve({ type: 'too-large' });
    });
    req.on('end', () => {
      resolve({ type: 'whole', bytes: Buffer.concat(chunks) });
    });
    req.on('error', () => {
      resolve({ type: 'gone' });
    });
    req.on('close', () => {
      resolve({ type: 'gone' });
    });
  });
}
