/** One HTTP exchange with a backend server, up to the head of the response. */

import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { ServerHead } from '../types/call.js';
import type { ResponseHead } from '../utils/responseHead.js';
import { request } from 'node:http';
import {
  FilteredSocket,
  afterPendingReads,
  describeError,
  hasLostPeer,
  onTimeout,
} from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { ResponseFilter } from '../runtime/responseFilter.js';

/** Maximum number of interim responses (1xx) before the response. */
const MAX_INTERIM_ANSWERS = 16;

/** Responses to other requests, which may arrive before the own one. */
export interface SkippedResponses {
  isForeign: (head: ResponseHead) => boolean;
  /**
   * Milliseconds after the first of them within which the own response must begin: a server may name
   * another request and send nothing else.
   */
  ownMs: number;
}

/** A request to send to a server. */
export interface AttemptRequest {
  /** `http://host:port` of the server. */
  url: string;
  method: string;
  /** Path and query. */
  target: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer;
  agent: Agent;
  /** Timeout of a new connection, in milliseconds. */
  connectMs: number;
  /** Timeout for the head of the response, in milliseconds; undefined leaves it to `signal`. */
  headMs: number | undefined;
  /** Aborted when the response is no longer needed. */
  signal: AbortSignal;
  /**
   * Called right before the request is written, because `signal` is aborted only at the end of the
   * event loop iteration. Nothing is sent if it returns false.
   */
  isWanted?: () => boolean;
  /** Decides whether the request may be written to this connection; nothing is sent if not. */
  accepts?: (connection: Socket) => boolean;
  /** Which responses are skipped; without it, the first response ends the attempt. */
  skipped?: SkippedResponses;
  /** Called when the request is written. */
  onSent?: () => void;
}

/** Why there is no response. */
export type AttemptFaultReason =
  | 'not-connected'
  /** Connection refused: no process listens at the address. */
  | 'refused'
  /** The connection, or the process behind it, may not be used for the request. */
  | 'not-accepted'
  /**
   * A connection kept from earlier requests received bytes or ended before the request was written.
   * That says nothing about whether a new connection would open.
   */
  | 'unusable'
  /** No request can carry the target or a header, at any server. */
  | 'unsendable'
  | 'broken'
  | 'timeout'
  | 'aborted';

/** A failed exchange. */
export interface AttemptFault {
  reason: AttemptFaultReason;
  /** Whether any byte of the request may have reached the server. */
  sent: boolean;
  cause: string;
}

/** A response whose body has not been read yet. */
export interface OpenAnswer {
  head: ServerHead;
  body: IncomingMessage;
  /**
   * Returns whether the connection failed. A response without a length ends with its connection,
   * and Node.js reports it as complete even if the connection was reset.
   */
  isBroken(): boolean;
  /**
   * Returns whether only the end of the connection ended the response. It is whole only if its server, and
   * not the end of a process, ended the connection.
   */
  endedWithConnection(): boolean;
  /** Abandons the response by closing the connection. */
  drop(): void;
}

/**
 * Sends a request and waits for the head of the response. When the connection is open, all data
 * that has arrived by then is read first; nothing is sent if it shows that the response is not
 * needed.
 *
 * @example
 * const answer = await openAttempt({ url, method: 'POST', target: '/a/b', ...rest });
 * if (answer.isErr && !answer.error.sent) tryAnotherServer();
 */
export function openAttempt(attempt: AttemptRequest): Promise<Result<OpenAnswer, AttemptFault>> {
  const created = tryOrElse(
    (err): AttemptFault => ({ reason: 'unsendable', sent: false, cause: describeError(err) }),
    () => createRequest(attempt),
  );
  if (created.isErr) return Promise.resolve(Result.err(created.error));
  const req = created.value;
  return new Promise((resolve) => {
    const { signal } = attempt;
    let settled = false;
    let sent = false;
    let stopOwnTimer: (() => void) | undefined;
    const settle = (result: Result<OpenAnswer, AttemptFault>): void => {
      if (settled) return;
      settled = true;
      stopConnectTimer();
      stopHeadTimer();
      stopOwnTimer?.();
      resolve(result);
    };
    const fail = (reason: AttemptFaultReason, cause: string): void => {
      settle(Result.err({ reason: sent ? reason : notSentReason(reason, req), sent, cause }));
      req.destroy();
    };
    const abort = (): void => {
      fail('aborted', 'aborted');
    };
    // a server without power never refuses a connection: only this timeout allows a retry
    // elsewhere.
    const stopConnectTimer = onTimeout(attempt.connectMs, () => {
      if (req.socket?.connecting !== false) fail('not-connected', 'connect timeout');
    });
    const stopHeadTimer = onTimeout(attempt.headMs, () => {
      fail('timeout', 'response timeout');
    });
    const onSkip = (): void => {
      stopOwnTimer ??= onTimeout(attempt.skipped?.ownMs, () => {
        fail('broken', 'only responses to other requests arrived');
      });
    };
    signal.addEventListener('abort', abort, { once: true });
    req.once('close', () => {
      signal.removeEventListener('abort', abort);
      fail('broken', 'connection closed');
    });
    let interim = 0;
    req.on('information', () => {
      interim += 1;
      if (interim > MAX_INTERIM_ANSWERS) fail('broken', 'too many interim responses');
    });
    let broken = false;
    req.on('error', (err: NodeJS.ErrnoException) => {
      broken = true;
      fail(err.code === 'ECONNREFUSED' ? 'refused' : 'broken', err.message);
    });
    req.on('response', (body) => {
      // data that arrives before the request was sent belongs to another request.
      if (!sent) {
        fail('broken', 'response received before the request was sent');
        return;
      }
      const { statusCode: status = 0, headers: answerHeaders, rawHeaders } = body;
      // a connection error while the body is not being read must not end the process.
      body.on('error', () => undefined);
      const drop = (): void => {
        req.destroy();
      };
      const head = { status, headers: answerHeaders, rawHeaders };
      let endedWithConnection = false;
      const isUnframed = hasNoLength(body);
      const { socket: connection } = body;
      if (isUnframed) {
        const onEnd = (): void => {
          endedWithConnection = true;
          // a server that has not got the whole request can't have answered it whole.
          if (hasLostPeer(connection) || !req.writableFinished) broken = true;
        };
        connection.prependOnceListener('end', onEnd);
        // a response without a body leaves its connection open for the next ones.
        body.once('close', () => connection.off('end', onEnd));
      }
      settle(
        Result.ok({
          head,
          body,
          drop,
          isBroken: () => broken,
          endedWithConnection: () => endedWithConnection || (isUnframed && connection.destroyed),
        }),
      );
    });
    onceConnected(req, (connection, received) => {
      if (settled) return;
      // the rest of a response that has begun would be read as the beginning of the next one.
      if (received > 0) {
        fail('broken', 'bytes received before the request was sent');
        return;
      }
      if (attempt.isWanted?.() === false) {
        abort();
        return;
      }
      if (attempt.accepts?.(connection) === false) {
        fail('not-accepted', 'the connection was not accepted');
        return;
      }
      sent = true;
      if (connection instanceof FilteredSocket) filterResponses(connection, attempt, onSkip);
      attempt.onSent?.();
      req.end(attempt.body);
    });
    if (signal.aborted) abort();
  });
}

function createRequest({
  url,
  method,
  target: path,
  agent,
  headers,
}: AttemptRequest): ClientRequest {
  const { hostname, port } = new URL(url);
  return request({ host: hostname, port, method, path, agent, headers, setHost: false });
}

/** Checks what comes before the response to this request, and has responses to other requests skipped. */
function filterResponses(
  connection: FilteredSocket,
  { method, skipped }: AttemptRequest,
  onSkip: () => void,
): void {
  const known = connection.readFilter;
  const filter = known instanceof ResponseFilter ? known : new ResponseFilter();
  connection.readFilter = filter;
  // a response to HEAD has the length of a body that it doesn't have.
  if (method === 'HEAD') filter.skipNone();
  filter.expect({ isForeign: (head) => skipped?.isForeign(head) === true, onSkip });
}

/**
 * Calls `listener` when the connection is open and all data that arrived by then has been read, with the
 * number of bytes that arrived in the meantime.
 */
function onceConnected(
  req: ClientRequest,
  listener: (connection: Socket, received: number) => void,
): void {
  req.once('socket', (socket: Socket) => {
    const connected = (): void => {
      const before = socket.bytesRead;
      afterPendingReads(() => {
        listener(socket, socket.bytesRead - before);
      });
    };
    if (socket.connecting) socket.once('connect', connected);
    else connected();
  });
}

function notSentReason(
  reason: AttemptFaultReason,
  { reusedSocket }: ClientRequest,
): AttemptFaultReason {
  if (reason === 'aborted' || reason === 'refused' || reason === 'not-accepted') return reason;
  return reusedSocket ? 'unusable' : 'not-connected';
}

/** Returns whether the response declares no length, so that it ends with its connection if it has a body. */
function hasNoLength({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}
