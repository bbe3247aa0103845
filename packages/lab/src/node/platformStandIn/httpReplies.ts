/** Reads request bodies and writes replies of the platform stand-in. */

import type { StoredObject, TableFault } from '@flamingocourse/store';
import type { IncomingMessage, ServerResponse } from 'node:http';

const statusByFault: Record<TableFault, number> = {
  exists: 409,
  conflict: 409,
  'not-found': 404,
  'too-large': 413,
  'too-old': 410,
};

/** Reads a body as text; returns `undefined` if it exceeds the limit. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size <= maxBytes) chunks.push(bytes);
  }
  return size <= maxBytes ? Buffer.concat(chunks).toString('utf8') : undefined;
}

/** Sends a JSON text. */
export function sendJson(
  res: ServerResponse,
  status: number,
  json: string,
  headers: Record<string, string> = {},
): void {
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(json),
    ...headers,
  });
  res.end(json);
}

/** Sends an error with a JSON body; 429 and 503 also get a `retry-after` header. */
export function sendFault(res: ServerResponse, status: number, reason: string): void {
  const headers: Record<string, string> =
    status === 429 || status === 503 ? { 'retry-after': '1' } : {};
  sendJson(res, status, JSON.stringify({ status, reason, message: reason }), headers);
}

/** Sends the error of a table operation. */
export function sendTableFault(res: ServerResponse, fault: TableFault): void {
  sendFault(res, statusByFault[fault], fault);
}

/** Serializes an object as the API returns it. */
export function objectJson({ name, version, json }: StoredObject): string {
  const metadata = JSON.stringify({ name, resourceVersion: version });
  return `{"metadata":${metadata},"value":${json}}`;
}
