/** Client for the procedures of peers. */

import type { IncarnationId } from '@flamingocourse/core';
import type { TRPCUntypedClient } from '@trpc/client';
import type { MeshRouter } from '../runtime/meshRouter.js';
import type {
  DirectProcedure,
  ProcedureInput,
  ProcedureName,
  ProcedureOutput,
  RoutedProcedure,
} from '../types/procedures.js';
import type { TunnelOptions } from '../types/tunnels.js';
import type { UnreadableListener } from '../types/unreadable.js';
import type { Socket } from 'node:net';
import { Agent } from 'node:http';
import { BodyBuffers, startTimeLimit } from '@flamingocourse/kernel';
import { createTRPCUntypedClient, httpLink, TRPCClientError } from '@trpc/client';
import { Result } from 'true-myth';
import { readMessage } from '../runtime/readMessage.js';
import { outputEntries, outputSchemas } from '../runtime/schemas.js';
import { MeshError } from '../utils/meshError.js';
import { TunnelError } from '../utils/tunnelError.js';
import { callDirect } from './directCalls.js';
import { incarnationHeader, secretHeader } from './meshHeaders.js';
import { createNodeFetch, TransportError } from './nodeFetch.js';
import { openTunnel } from './openTunnel.js';

const defaultTimeoutMs = 1_000;
const defaultMaxPerPeer = 64;
const socketsPerPeer = 8;
const maxAnswerBytes = 16 * 1024 * 1024;
/** Maximum number of cached clients; far above the number of peers that one router calls. */
const maxCachedClients = 512;

/** Options of the client. */
export interface MeshClientOptions {
  secret?: string | undefined;
  /** Milliseconds for a whole call. @default 1000 */
  timeoutMs?: number;
  /**
   * Maximum number of calls in flight to one peer; further calls fail without being sent.
   * @default 64
   */
  maxPerPeer?: number;
  /** Local IP address of connections. @default chosen by the operating system */
  localAddress?: string;
  /** Called with what cannot be read of an answer. */
  onUnreadable?: UnreadableListener;
}

/** Peer to call. */
export interface MeshTarget {
  /** `http://host:port` of the peer's mesh listener. */
  meshUrl: string;
  /**
   * Incarnation of the peer that the call is meant for; optional only for heartbeats, loans and
   * gossip.
   */
  incarnation?: IncarnationId;
}

/** Options of one call. */
export interface MeshCallOptions {
  signal?: AbortSignal;
  timeoutMs?: number;
}

interface PeerClient {
  client: TRPCUntypedClient<MeshRouter>;
  running: number;
}

/**
 * Client side of the mesh.
 *
 * @example
 * const mesh = new MeshClient({ timeoutMs: 500 });
 * const stored = await mesh.call(peer.info, 'keepLines', { lines });
 * if (stored.isErr && stored.error.code === 'refused') chooseAnotherWitness();
 */
export class MeshClient {
  readonly #options: MeshClientOptions;
  readonly #agent: Agent;
  readonly #buffers = new BodyBuffers(undefined, maxAnswerBytes);
  readonly #clients = new Map<string, PeerClient>();
  #closed = false;

  constructor(options: MeshClientOptions = {}) {
    this.#options = options;
    this.#agent = new Agent({
      keepAlive: true,
      maxSockets: socketsPerPeer,
      localAddress: options.localAddress,
    });
  }

  /** Calls a procedure of a peer. For errors see {@link MeshErrorCode}. */
  async call<P extends RoutedProcedure>(
    target: MeshTarget,
    procedure: P,
    input: ProcedureInput<P>,
    options: MeshCallOptions = {},
  ): Promise<Result<ProcedureOutput<P>, MeshError>> {
    const admitted = this.#admit(target.meshUrl);
    if (admitted.isErr) return Result.err(admitted.error);
    const peer = admitted.value;
    const timeoutMs = options.timeoutMs ?? this.#options.timeoutMs ?? defaultTimeoutMs;
    const limit = startTimeLimit(timeoutMs, options.signal);
    peer.running += 1;
    try {
      const output: unknown = await peer.client.mutation(procedure, input, {
        context: { to: target.incarnation },
        signal: limit.signal,
      });
      return this.#readOutput(target, procedure, output);
    } catch (err) {
      if (!limit.isExpired) return Result.err(toMeshError(err, procedure));
      const message = `${procedure}: no answer within ${String(timeoutMs)} ms`;
      return Result.err(new MeshError('timeout', message, { cause: err }));
    } finally {
      peer.running -= 1;
      limit.end();
    }
  }

  /** An answer that cannot be read is none: what the peer did is not known. */
  #readOutput<P extends RoutedProcedure>(
    { meshUrl }: MeshTarget,
    procedure: P,
    output: unknown,
  ): Result<ProcedureOutput<P>, MeshError> {
    try {
      const read = readMessage(outputSchemas[procedure], outputEntries[procedure], output);
      for (const entries of read.unreadable) {
        this.#options.onUnreadable?.({ procedure, peer: meshUrl, ...entries });
      }
      return Result.ok(read.message);
    } catch (cause) {
      const message = `${procedure}: the answer is malformed`;
      return Result.err(new MeshError('unreachable', message, { cause }));
    }
  }

  /** Calls a procedure that is called often, without tRPC; limits and errors as for {@link call}. */
  async callDirect<P extends DirectProcedure>(
    { meshUrl }: MeshTarget,
    procedure: P,
    input: ProcedureInput<P>,
    options: MeshCallOptions = {},
  ): Promise<Result<ProcedureOutput<P>, MeshError>> {
    const admitted = this.#admit(meshUrl);
    if (admitted.isErr) return Result.err(admitted.error);
    const peer = admitted.value;
    const { secret, timeoutMs = defaultTimeoutMs } = this.#options;
    peer.running += 1;
    try {
      return await callDirect(procedure, input, {
        meshUrl,
        agent: this.#agent,
        headers: secret === undefined ? {} : { [secretHeader]: secret },
        timeoutMs: options.timeoutMs ?? timeoutMs,
        maxAnswerBytes,
        buffers: this.#buffers,
        signal: options.signal,
      });
    } finally {
      peer.running -= 1;
    }
  }

  /**
   * Opens a tunnel through a peer to a server. The socket belongs to the caller; `close` doesn't
   * close it. For errors see {@link TunnelErrorCode}.
   *
   * @example
   * const tunnel = await mesh.openTunnel({ peerUrl, target: 'server-7', timeoutMs: 250 });
   * if (tunnel.isErr && tunnel.error.refusal === 'not-listed') askAnotherPeer();
   */
  async openTunnel(options: TunnelOptions): Promise<Result<Socket, TunnelError>> {
    if (this.#closed) return Result.err(new TunnelError('unreachable', 'this client is closed'));
    return openTunnel(options, this.#options);
  }

  /** Closes all connections of calls; later calls fail without being sent. */
  close(): void {
    this.#closed = true;
    this.#agent.destroy();
    this.#clients.clear();
  }

  /** The peer of a call that may be sent; the error says that it was not. */
  #admit(meshUrl: string): Result<PeerClient, MeshError> {
    if (this.#closed)
      return Result.err(new MeshError('refused', 'this client is closed; not sent'));
    const peer = this.#peerClient(meshUrl);
    if (peer.running >= (this.#options.maxPerPeer ?? defaultMaxPerPeer)) {
      return Result.err(new MeshError('refused', `too many calls to ${meshUrl}; not sent`));
    }
    return Result.ok(peer);
  }

  #peerClient(meshUrl: string): PeerClient {
    const known = this.#clients.get(meshUrl);
    if (known) return known;
    if (this.#clients.size >= maxCachedClients) this.#evictIdleClients();
    const created = { client: this.#createClient(meshUrl), running: 0 };
    this.#clients.set(meshUrl, created);
    return created;
  }

  #createClient(meshUrl: string): TRPCUntypedClient<MeshRouter> {
    const { secret } = this.#options;
    const link = httpLink<MeshRouter>({
      url: meshUrl,
      fetch: createNodeFetch({ agent: this.#agent, maxAnswerBytes, buffers: this.#buffers }),
      headers: ({ op }) => {
        const { to } = op.context as { to?: string };
        return {
          ...(secret === undefined ? {} : { [secretHeader]: secret }),
          ...(to === undefined ? {} : { [incarnationHeader]: encodeURIComponent(to) }),
        };
      },
    });
    return createTRPCUntypedClient<MeshRouter>({ links: [link] });
  }

  #evictIdleClients(): void {
    for (const [url, { running }] of this.#clients) if (running === 0) this.#clients.delete(url);
  }
}

const refusedCodes = ['UNAUTHORIZED', 'PRECONDITION_FAILED'];
const invalidCodes = ['BAD_REQUEST', 'PAYLOAD_TOO_LARGE', 'NOT_FOUND', 'PARSE_ERROR'];

function toMeshError(err: unknown, procedure: ProcedureName): MeshError {
  const cause = err instanceof TRPCClientError ? err.cause : err;
  if (cause instanceof TransportError) return transportToMeshError(cause, procedure);
  const code = err instanceof TRPCClientError ? readCode(err as { data?: unknown }) : '';
  const message = `${procedure}: ${err instanceof Error ? err.message : String(err)}`;
  if (refusedCodes.includes(code)) return new MeshError('refused', message, { cause: err });
  if (invalidCodes.includes(code)) return new MeshError('invalid', message, { cause: err });
  // a handler that threw may have done part of its work, so the effect is unknown.
  return new MeshError('unreachable', message, { cause: err });
}

function transportToMeshError(cause: TransportError, procedure: ProcedureName): MeshError {
  const code = cause.reason === 'refused' ? 'refused' : 'unreachable';
  return new MeshError(code, `${procedure}: ${cause.message}`, { cause });
}

/** Code of the error that the peer's tRPC server sent; empty for any other answer. */
function readCode(err: { data?: unknown }): string {
  const { data } = err;
  if (typeof data !== 'object' || data === null || !('code' in data)) return '';
  return String(data.code);
}
