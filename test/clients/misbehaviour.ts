/** What clients that ignore the limits send to a listener. */

import type { Sent } from './crowd.js';
import { ASKED_BEHAVIOUR } from '../platform/fakeServer.js';
import { HOST, KEY } from '../platform/world.js';

/** Listeners of an instance. */
export type Listener = 'entry' | 'ready' | 'metrics' | 'mesh';

/** Maximum size of a request's body in the configuration of these tests, in bytes. */
export const MAX_BODY_BYTES = 1024 * 1024;
/** Bytes of requests that a connection sends ahead. */
const AHEAD_BYTES = 128 * 1024;
/** Bytes by which a body stops short of its end. */
const SHORT_BYTES = 1024;
/** Size of one write, in bytes. */
const WRITE_BYTES = 16 * 1024;
/** Bytes of a body in chunks of one byte; six are sent for each. */
const TINY_CHUNK_WIRE_BYTES = 512 * 1024;
/** Bytes of a head or of trailers that never end; below the limit of one head. */
const HEAD_BYTES = 14 * 1024;

const PATHS: Readonly<Record<Listener, string>> = {
  entry: '/sound/1',
  ready: '/api/ready',
  metrics: '/metrics',
  mesh: '/status',
};
/** Path at which the mesh listener reads bodies. */
const MESH_PROCEDURE = '/borrow';

const CHUNKED = 'Transfer-Encoding: chunked';
const USUAL_HEADERS = [
  'X-Request-Id: crowd-1',
  'X-Deadline-Ms: 30000',
  `Authorization: Token ${KEY}`,
];

function head(listener: Listener, method: 'GET' | 'POST', headers: readonly string[]): string {
  const path = method === 'POST' && listener === 'mesh' ? MESH_PROCEDURE : PATHS[listener];
  return [`${method} ${path} HTTP/1.1`, `Host: ${HOST}`, ...headers].join('\r\n') + '\r\n\r\n';
}

/** Repeats a text up to the size of one write. */
function fill(text: string, bytes = WRITE_BYTES): Buffer {
  return Buffer.from(text.repeat(Math.max(1, Math.floor(bytes / text.length))));
}

const largeChunk = Buffer.concat([
  Buffer.from(`${WRITE_BYTES.toString(16)}\r\n`),
  Buffer.alloc(WRITE_BYTES, 'x'),
  Buffer.from('\r\n'),
]);

/** Builds what a connection sends to a listener, with or without the usual headers. */
export type Misbehaviour = (listener: Listener, usual: readonly string[]) => Sent;

export const misbehaviours = {
  'bodies in large chunks that stop short of their end': (listener, usual) => ({
    head: head(listener, 'POST', [...usual, CHUNKED]),
    unit: largeChunk,
    totalBytes: MAX_BODY_BYTES - WRITE_BYTES,
  }),
  'bodies in chunks of one byte that stop short of their end': (listener, usual) => ({
    head: head(listener, 'POST', [...usual, CHUNKED]),
    unit: fill('1\r\nx\r\n'),
    totalBytes: TINY_CHUNK_WIRE_BYTES,
  }),
  'bodies of a stated length that stop short of it': (listener, usual) => ({
    head: head(listener, 'POST', [...usual, `Content-Length: ${String(MAX_BODY_BYTES)}`]),
    unit: Buffer.alloc(WRITE_BYTES - SHORT_BYTES, 'x'),
    totalBytes: MAX_BODY_BYTES - WRITE_BYTES,
  }),
  'bodies whose trailers never end': (listener, usual) => ({
    head: `${head(listener, 'POST', [...usual, CHUNKED])}1\r\nx\r\n0\r\n`,
    unit: fill('a:b\r\n', HEAD_BYTES),
    totalBytes: HEAD_BYTES,
  }),
  'heads that never end': (listener, usual) => ({
    head: head(listener, 'GET', usual).slice(0, -2),
    unit: fill('a:b\r\n', HEAD_BYTES),
    totalBytes: HEAD_BYTES,
  }),
  'requests sent ahead': (listener, usual) => ({
    head: '',
    unit: fill(head(listener, 'GET', usual)),
    totalBytes: AHEAD_BYTES,
  }),
  'requests sent ahead of which each has a body': (listener, usual) => ({
    head: '',
    unit: fill(`${head(listener, 'POST', [...usual, 'Content-Length: 3'])}x=1`),
    totalBytes: AHEAD_BYTES,
  }),
  'no request at all': () => ({ head: '', unit: Buffer.alloc(0), totalBytes: 0 }),
  'requests whose large answers are left unread': (listener, usual) => ({
    head: head(listener, 'GET', [...usual, `${ASKED_BEHAVIOUR}: large`]),
    unit: Buffer.alloc(0),
    totalBytes: 0,
  }),
} satisfies Record<string, Misbehaviour>;

export type MisbehaviourName = keyof typeof misbehaviours;

/** Bytes that a connection sends, with the usual headers or without. */
export function sentBy(name: MisbehaviourName, listener: Listener, isUsual: boolean): Sent {
  const build: Misbehaviour = misbehaviours[name];
  return build(listener, isUsual ? USUAL_HEADERS : []);
}
