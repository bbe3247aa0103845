/** Mesh listener: serves the procedures that other services of this router register. */

import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ClientConnectionsOptions, Kernel } from '@flamingocourse/kernel';
import type { MeshCallContext } from '../runtime/meshRouter.js';
import type { DirectProcedure, MeshHandler, ProcedureName } from '../types/procedures.js';
import type { TunnelHandler } from '../types/tunnels.js';
import type { UnreadableListener } from '../types/unreadable.js';
import type { Duplex } from 'node:stream';
import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import { Socket } from 'node:net';
import {
  BodyBuffers,
  ClientConnections,
  Service,
  answerUnservable,
  boundedServerOptions,
  decodePathPart,
  readRequestBody,
  runInBackground,
} from '@flamingocourse/kernel';
import { TRPC_ERROR_CODES_BY_KEY } from '@trpc/server/rpc';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createMeshRouter } from '../runtime/meshRouter.js';
import { MeshError } from '../utils/meshError.js';
import { MAX_DIRECT_INPUT_BYTES, answerDirect, directProcedure } from './directCalls.js';
import { incarnationHeader, secretHeader } from './meshHeaders.js';
import { refuseTunnel } from './tunnelAnswers.js';

const defaultMaxBodyBytes = 4 * 1024 * 1024;
const defaultMaxConcurrent = 256;
/**
 * Longer than the interval between two heartbeats to the same peer, so that connections stay open.
 */
const keepAliveTimeoutMs = 30_000;
/** Limits of a listener for which none are given. */
const defaultLimits = {
  connections: 512,
  headBytes: 64 * 1024,
  headMs: 5_000,
  bodyMs: 10_000,
  idleMs: 60_000,
  unreadMs: 10_000,
};
const statusTooLarge = 413;
const statusTooMany = 429;

/** Status of a router; fields other than `ready` are for operators to read. */
export interface RouterStatusReport {
  ready: boolean;
  [detail: string]: unknown;
}

/** Options of the mesh listener. */
export interface MeshServerOptions {
  host: string;
  /** 0 selects a free port. */
  port: number;
  /** Secret that all routers of the deployment share; calls without it are refused. */
  secret?: string | undefined;
  /** @default 4194304 */
  maxBodyBytes?: number;
  /** Maximum number of concurrent calls; further calls are refused. @default 256 */
  maxConcurrent?: number;
  /** What clients may make the process hold; by default this listener has limits of its own. */
  clients?: ClientConnectionsOptions;
  /** Called with what cannot be read of an input. */
  onUnreadable?: UnreadableListener;
}

/**
 * Service `mesh`. Other services register their handlers when they start, before or after this one.
 *
 * @example
 * const mesh = kernel.get('mesh', MeshServer);
 * mesh.handle('recall', ({ amount }) => Result.ok({ amount }));
 */
export class MeshServer extends Service {
  override readonly name = 'mesh';
  readonly #options: MeshServerOptions;
  readonly #handlers: { [P in ProcedureName]?: MeshHandler<P> } = {};
  readonly #limited: ClientConnectionsOptions;
  #server: Server | undefined;
  #clients: ClientConnections | undefined;
  #isSelf: (incarnation: string) => boolean = () => false;
  #running = 0;
  #reportStatus: (() => RouterStatusReport) | undefined;
  #connectHandler: TunnelHandler | undefined;
  /** Sockets of CONNECT requests, which the HTTP server no longer manages. */
  readonly #tunnelSockets = new Set<Socket>();

  constructor(options: MeshServerOptions) {
    super();
    this.#options = options;
    this.#limited = options.clients ?? {
      limits: () => defaultLimits,
      bytes: new BodyBuffers(undefined, Infinity),
      now: () => performance.now(),
    };
  }

  /** URL of the listener. If the configured port is 0, the port is known only after the start. */
  get url(): string {
    const address = this.#server?.address() as AddressInfo | null | undefined;
    const port = address?.port ?? this.#options.port;
    return `http://${this.#options.host}:${String(port)}`;
  }

  /** Registers the handler of a procedure. Throws if it already has one. */
  handle<P extends ProcedureName>(procedure: P, handler: MeshHandler<P>): void {
    if (this.#handlers[procedure]) {
      throw new MeshError('invalid', `procedure "${procedure}" already has a handler`);
    }
    Object.assign(this.#handlers, { [procedure]: handler });
  }

  /**
   * Sets the handler of CONNECT requests. Their sockets don't count as concurrent calls; the handler
   * limits them itself.
   *
   * @example
   * mesh.handleConnect(({ socket }) => refuseTunnel(socket, 'unavailable'));
   */
  handleConnect(handler: TunnelHandler): void {
    this.#connectHandler = handler;
  }

  /**
   * Sets the status report that the listener returns for any GET request, such as `/readyz` and
   * `/status`. Operators can query every router here, because the instance list contains this
   * listener's URL. No secret is needed, because the request changes nothing.
   */
  reportStatus(report: () => RouterStatusReport): void {
    this.#reportStatus = report;
  }

  /**
   * Sets the check for incarnations of this process; calls meant for other incarnations are
   * refused.
   */
  setIncarnationCheck(isSelf: (incarnation: string) => boolean): void {
    this.#isSelf = isSelf;
  }

  override async start(kernel: Kernel): Promise<void> {
    const onFailure = (err: unknown): void => {
      kernel.reportFailure(err, this.name);
    };
    const handler = this.#createHandler();
    const server = createServer(boundedServerOptions(this.#limited.limits()), (req, res) => {
      if (answerUnservable(req, res, clients)) req.resume();
      else this.#admit(req, res, handler, onFailure);
    });
    const clients = new ClientConnections(server, this.#limited);
    this.#clients = clients;
    server.on('connect', (req, socket, head) => {
      this.#connect(req, socket, head);
    });
    server.keepAliveTimeout = keepAliveTimeoutMs;
    clients.start();
    await listen(server, this.#options);
    this.#server = server;
  }

  override stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    this.#clients?.stop();
    if (!server) return Promise.resolve();
    return new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
      server.closeAllConnections();
      // a reset, because an orderly end could pass for the end of the server's answer.
      for (const socket of this.#tunnelSockets) socket.resetAndDestroy();
    });
  }

  #connect(req: IncomingMessage, socket: Duplex, head: Buffer): void {
    if (!(socket instanceof Socket)) throw new TypeError('the mesh listener serves only TCP');
    this.#trackTunnelSocket(socket);
    const target = decodePathPart(req.url ?? '');
    const trusted = isTrusted(req.headers[secretHeader], this.#options.secret);
    if (!trusted) refuseTunnel(socket, 'not-trusted');
    else if (target === undefined) refuseTunnel(socket, 'other');
    else if (!this.#connectHandler) refuseTunnel(socket, 'not-listed');
    else this.#connectHandler({ target, socket, head });
  }

  #trackTunnelSocket(socket: Socket): void {
    this.#tunnelSockets.add(socket);
    socket.setTimeout(0);
    socket.setNoDelay(true);
    socket.on('error', () => {
      // followed by 'close'.
    });
    socket.once('close', () => {
      this.#tunnelSockets.delete(socket);
    });
  }

  #createHandler(): RequestListener {
    const router = createMeshRouter({
      handler: <P extends ProcedureName>(procedure: P) => this.#handlers[procedure],
      isSelf: (incarnation) => this.#isSelf(incarnation),
      onUnreadable: (part) => this.#options.onUnreadable?.(part),
    });
    return createHTTPHandler({
      router,
      createContext: ({ req }) => this.#createContext(req),
    });
  }

  #createContext(req: IncomingMessage): MeshCallContext {
    const to = req.headers[incarnationHeader];
    return {
      trusted: isTrusted(req.headers[secretHeader], this.#options.secret),
      // no incarnation has a malformed name, so such a call is for another one.
      to: typeof to === 'string' ? (decodePathPart(to) ?? to) : undefined,
    };
  }

  #admit(
    req: IncomingMessage,
    res: ServerResponse,
    handler: RequestListener,
    onFailure: (err: unknown) => void,
  ): void {
    if (req.method === 'GET') {
      req.resume();
      this.#sendStatus(res);
      return;
    }
    if (this.#running >= (this.#options.maxConcurrent ?? defaultMaxConcurrent)) {
      req.resume();
      refuseBusy(res);
      return;
    }
    // peers do not use the Date header, and it would be a large part of a heartbeat.
    res.sendDate = false;
    this.#running += 1;
    res.once('close', () => {
      this.#running -= 1;
    });
    runInBackground(
      () => this.#readAndAnswer(req, res, handler),
      (err) => {
        onFailure(err);
        res.destroy();
      },
    );
  }

  /** Reads the body here, because tRPC would hold each chunk of it, and the bodies of all calls. */
  async #readAndAnswer(
    req: IncomingMessage,
    res: ServerResponse,
    handler: RequestListener,
  ): Promise<void> {
    const procedure = directProcedure(req);
    const maxBytes = procedure === undefined ? this.#maxBodyBytes : MAX_DIRECT_INPUT_BYTES;
    const read = readRequestBody(req, maxBytes, this.#limited.bytes);
    res.once('close', read.release);
    const body = await read.body;
    if (body.type === 'too-large') refuseTooLarge(res);
    else if (body.type === 'no-room') refuseBusy(res);
    if (body.type !== 'whole') return;
    const text = body.bytes.toString('utf8');
    if (procedure === undefined) handler(Object.assign(req, { body: text }), res);
    else await this.#answerDirect(procedure, { req, res, text });
  }

  get #maxBodyBytes(): number {
    return this.#options.maxBodyBytes ?? defaultMaxBodyBytes;
  }

  #answerDirect(
    procedure: DirectProcedure,
    { req, res, text }: { req: IncomingMessage; res: ServerResponse; text: string },
  ): Promise<void> {
    const isTrustedCall = isTrusted(req.headers[secretHeader], this.#options.secret);
    const call = { text, res, isTrusted: isTrustedCall };
    const { followStore, shareConditions } = this.#handlers;
    switch (procedure) {
      case 'followStore':
        return answerDirect({ ...call, procedure, handler: followStore });
      case 'shareConditions':
        return answerDirect({ ...call, procedure, handler: shareConditions });
    }
  }

  #sendStatus(res: ServerResponse): void {
    const report = this.#reportStatus?.() ?? { ready: false };
    const body = JSON.stringify(report);
    res.writeHead(readyStatus(report), { 'content-type': 'application/json' }).end(body);
  }
}

/** The caller learns immediately that the call had no effect. */
function refuseBusy(res: ServerResponse): void {
  res.writeHead(statusTooMany, { connection: 'close', 'content-length': 0 }).end();
}

/** Refuses a call as tRPC does, so that the caller reads the same error. */
function refuseTooLarge(res: ServerResponse): void {
  const data = { code: 'PAYLOAD_TOO_LARGE', httpStatus: statusTooLarge };
  const body = JSON.stringify({
    error: { message: data.code, code: TRPC_ERROR_CODES_BY_KEY.PAYLOAD_TOO_LARGE, data },
  });
  const headers = { 'content-type': 'application/json', connection: 'close' };
  res.writeHead(statusTooLarge, headers).end(body);
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
