/** Parses HTTP requests into operations of the Object API. */

import { z } from 'zod';

/** An operation with its arguments. */
export type ObjectRequest =
  | { type: 'get'; collection: string; name: string }
  | { type: 'list'; collection: string }
  | { type: 'watch'; collection: string; version: string }
  | { type: 'create'; collection: string; name: string; json: string }
  | { type: 'update'; collection: string; name: string; version: string; json: string }
  | { type: 'remove'; collection: string; name: string; version: string }
  | { type: 'instances'; service: string }
  | { type: 'bad'; status: number; reason: string };

const prefix = '/apis/flamingocourse.dev/v1/';

const writeBodySchema = z.object({
  metadata: z.object({ name: z.string().min(1), resourceVersion: z.string().optional() }),
  value: z.unknown(),
});

type WriteBody = z.infer<typeof writeBodySchema>;

const bad = (status: number, reason: string): ObjectRequest => ({ type: 'bad', status, reason });

/** Parses method, path and body; `body` is `undefined` if it exceeded the limit. */
export function parseObjectRequest(
  method: string,
  path: string,
  body: string | undefined,
): ObjectRequest {
  const url = new URL(path, 'http://platform');
  if (url.pathname === '/instances') {
    return { type: 'instances', service: url.searchParams.get('service') ?? '' };
  }
  if (!url.pathname.startsWith(prefix)) return bad(404, 'unknown path');
  const parts = url.pathname.slice(prefix.length).split('/').map(decodeURIComponent);
  const [collection = '', name] = parts;
  if (parts.length > 2 || collection === '') return bad(404, 'unknown path');
  if (method === 'GET') return parseRead(collection, name, url.searchParams);
  if (method === 'DELETE' && name !== undefined) {
    return { type: 'remove', collection, name, version: versionOf(url.searchParams) };
  }
  if (body === undefined) return bad(413, 'too-large');
  return parseWrite(method, collection, name, body);
}

function parseRead(
  collection: string,
  name: string | undefined,
  params: URLSearchParams,
): ObjectRequest {
  if (name !== undefined) return { type: 'get', collection, name };
  if (params.get('watch') !== 'true') return { type: 'list', collection };
  return { type: 'watch', collection, version: versionOf(params) };
}

function versionOf(params: URLSearchParams): string {
  return params.get('resourceVersion') ?? '0';
}

function parseWrite(
  method: string,
  collection: string,
  name: string | undefined,
  body: string,
): ObjectRequest {
  const write = parseBody(body);
  if (!write) return bad(400, 'the body is not an object with metadata and value');
  const json = JSON.stringify(write.value ?? null);
  if (method === 'POST' && name === undefined) {
    return { type: 'create', collection, name: write.metadata.name, json };
  }
  const version = write.metadata.resourceVersion;
  if (method !== 'PUT' || name === undefined) return bad(405, 'method not allowed');
  if (version === undefined) return bad(400, 'metadata.resourceVersion is missing');
  return { type: 'update', collection, name, version, json };
}

function parseBody(body: string): WriteBody | undefined {
  try {
    return writeBodySchema.safeParse(JSON.parse(body)).data;
  } catch {
    return undefined;
  }
}
