/** The mesh listener: serves the procedures that other services of this router have registered. */

import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { MeshCallContext } from '../runtime/meshRouter.js';
import type { MeshHandler, ProcedureName } from '../types/procedures.js';
import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import { Service } from '@flamingocourse/kernel';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createMeshRouter } from '../runtime/meshRouter.js';
import { MeshError } from '../utils/meshError.js';
import { incarnationHeader, secretHeader } from './meshHeaders.js';

const defaultMaxBodyBytes = 4 * 1024 * 1024;
const defaultMaxConcurrent = 256;
/** Above the pause between two heartbeats to the same peer, so that connections are kept. */
const keepAliveTimeoutMs = 30_000;
const headersTimeoutMs = 5_000;
const requestTimeoutMs = 10_000;

/** What a router says about itself; further members are for people. */
export interface RouterStatusReport {
  ready: boolean;
  [detail: string]: unknown;
}

/** Options of the mesh listener. */
export interface MeshServerOptions {
  host: string;
  /** 0 takes a free port. */
  port: number;
  /** Shared by all routers of the deployment; calls without it are refused. */
  secret?: string | undefined;
  /** @default 4194304 */
  maxBodyBytes?: number;
  /** Calls served at once; more are refused. @default 256 */
  maxConcurrent?: number;
}

/**
 * Service `mesh`. Services register their handlers in their own start, before or after this one's.
 *
 * @example
 * const mesh = kernel.get('mesh', MeshServer);
 * mesh.handle('recall', ({ amount }) => Result.ok({ amount }));
 */
export class MeshServer extends Service {
  override readonly name = 'mesh';
  readonly #options: MeshServerOptions;
  readonly #handlers: { [P in ProcedureName]?: MeshHandler<P> } = {};
  #server: Server | undefined;
  #isSelf: (incarnation: string) => boolean = () => false;
  #running = 0;
  #reportStatus: (() => RouterStatusReport) | undefined;

  constructor(options: MeshServerOptions) {
    super();
    this.#options = options;
  }

  /** Address of the listener; the port is known once started. */
  get url(): string {
    const address = this.#server?.address() as AddressInfo | null | undefined;
    const port = address?.port ?? this.#options.port;
    return `http://${this.#options.host}:${String(port)}`;
  }

  /** Registers who serves a procedure. Throws if it is taken. */
  handle<P extends ProcedureName>(procedure: P, handler: MeshHandler<P>): void {
    if (this.#handlers[procedure]) {
      throw new MeshError('invalid', `procedure "${procedure}" is served twice`);
    }
    Object.assign(this.#handlers, { [procedure]: handler });
  }

  /**
   * Sets what `GET /readyz` and `GET /status` answer. The instance list names this listener, so it
   * is where operators can ask every router, without a secret, since nothing can be changed by it.
   */
  reportStatus(report: () => RouterStatusReport): void {
    this.#reportStatus = report;
  }

  /** Sets which incarnations are lives of this process; calls meant for others are refused. */
  recogniseSelf(isSelf: (incarnation: string) => boolean): void {
    this.#isSelf = isSelf;
  }

  override async start(): Promise<void> {
    const handler = this.#createHandler();
    const server = createServer((req, res) => {
      this.#admit(req, res, handler);
    });
    server.keepAliveTimeout = keepAliveTimeoutMs;
    server.headersTimeout = headersTimeoutMs;
    server.requestTimeout = requestTimeoutMs;
    await listen(server, this.#options);
    this.#server = server;
  }

  override stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (!server) return Promise.resolve();
    return new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
      server.closeAllConnections();
    });
  }

  #createHandler(): RequestListener {
    const router = createMeshRouter({
      handler: <P extends ProcedureName>(procedure: P) => this.#handlers[procedure],
      isSelf: (incarnation) => this.#isSelf(incarnation),
    });
    return createHTTPHandler({
      router,
      maxBodySize: this.#options.maxBodyBytes ?? defaultMaxBodyBytes,
      createContext: ({ req }) => this.#createContext(req),
    });
  }

  #createContext(req: IncomingMessage): MeshCallContext {
    const to = req.headers[incarnationHeader];
    return {
      trusted: isTrusted(req.headers[secretHeader], this.#options.secret),
      to: typeof to === 'string' ? decodeURIComponent(to) : undefined,
    };
  }

  #admit(req: IncomingMessage, res: ServerResponse, handler: RequestListener): void {
    if (req.method === 'GET') {
      this.#sendStatus(res);
      return;
    }
    // bounded work: beyond this the caller is told at once that nothing was done.
    if (this.#running >= (this.#options.maxConcurrent ?? defaultMaxConcurrent)) {
      res.writeHead(429, { connection: 'close' }).end();
      return;
    }
    // peers have no use for the header, and heartbeats are short.
    res.sendDate = false;
    this.#running += 1;
    res.once('close', () => {
      this.#running -= 1;
    });
    handler(req, res);
  }

  #sendStatus(res: ServerResponse): void {
    const report = this.#reportStatus?.() ?? { ready: false };
    const body = JSON.stringify(report);
    res.writeHead(readyStatus(report), { 'content-type': 'application/json' }).end(body);
  }
}

function readyStatus({ ready }: RouterStatusReport): number {
  return ready ? 200 : 503;
}

function listen(server: Server, { host, port }: MeshServerOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', (err) => {
      reject(new MeshError('invalid', `cannot listen on ${host}:${String(port)}`, { cause: err }));
    });
    server.listen(port, host, resolve);
  });
}

function isTrusted(given: string | string[] | undefined, secret: string | undefined): boolean {
  if (secret === undefined) return true;
  return typeof given === 'string' && timingSafeEqual(digest(given), digest(secret));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
