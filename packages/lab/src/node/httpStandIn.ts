/** Base class of the backend server stand-ins: an HTTP server that can crash and restart. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { HttpStandInOptions } from '../types/httpStandIn.js';
import { createServer } from 'node:http';
import { entryOf } from '@flamingocourse/core';
import { runInBackground } from '@flamingocourse/kernel';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** An HTTP server that can be started, crashed, restarted and stopped. */
export abstract class HttpStandIn {
  readonly #host: string;
  readonly #onCrash: (() => void) | undefined;
  readonly #sockets = new Set<Socket>();
  #port: number;
  #server: Server | undefined;

  constructor(options: HttpStandInOptions) {
    this.#host = options.host ?? '127.0.0.1';
    this.#port = options.port ?? 0;
    this.#onCrash = options.onCrash;
  }

  get url(): string {
    return `http://${this.#host}:${this.#port}`;
  }

  get running(): boolean {
    return this.#server !== undefined;
  }

  protected abstract handle(req: IncomingMessage, res: ServerResponse): Promise<void>;

  /** Clears the in-memory state of the server. */
  protected abstract reset(): void;

  /** Starts to listen; after a crash, on the same port as before. */
  async start(): Promise<void> {
    const server = createServer((req, res) => {
      runInBackground(
        () => this.handle(req, res),
        (err) => {
          failResponse(res, err);
        },
      );
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.#port, this.#host, resolve);
    });
    this.#port = (server.address() as AddressInfo).port;
    this.#server = server;
  }

  /** Simulates a crash: closes the server and all connections immediately. */
  crash(): void {
    this.#onCrash?.();
    this.#server?.close();
    this.#server = undefined;
    for (const socket of this.#sockets) socket.destroy();
    this.reset();
  }

  /** Stops the server and closes all connections. */
  async stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server) {
      const closed = new Promise((resolve) => server.close(resolve));
      for (const socket of this.#sockets) socket.destroy();
      await closed;
    }
    this.reset();
  }
}

/** Reads a request's body as text; rejects if it is larger than 4 MiB or incomplete. */
export async function readBody(req: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of req as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > MAX_BODY_BYTES) throw new RangeError(`body is larger than ${MAX_BODY_BYTES} bytes`);
    parts.push(part);
  }
  return Buffer.concat(parts).toString('utf8');
}

/** Sends a JSON response; does nothing if the caller has disconnected or headers were sent. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  if (res.destroyed || res.headersSent) return;
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(JSON.stringify(body));
}

/** Parses fault switches; throws a `RangeError` that names an unknown switch. */
export function parseSwitches<T extends object>(text: string, known: T): Partial<T> {
  const switches = JSON.parse(text) as Partial<T>;
  const unknown = Object.keys(switches).find((name) => !(name in known));
  if (unknown === undefined) return switches;
  throw new RangeError(`no switch "${unknown}"; use one of ${Object.keys(known).join(', ')}`);
}

/** URL of a request; only path and query are meaningful. */
export function requestUrl(req: IncomingMessage): URL {
  return new URL(req.url ?? '/', 'http://stand-in');
}

/** First value of a request header. */
export function requestHeader(req: IncomingMessage, name: string): string | undefined {
  const value = entryOf(req.headers, name);
  return Array.isArray(value) ? value[0] : value;
}

function failResponse(res: ServerResponse, err: unknown): void {
  const message = err instanceof Error ? err.message : String(err);
  sendJson(res, 400, { error: { message } });
  if (!res.writableEnded) res.destroy();
}
