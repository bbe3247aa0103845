/** One exchange with a backend server, up to the head of its answer. */

import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { ServerHead } from '../types/call.js';
import { request } from 'node:http';
import { onTimeOver, pendingReads } from '@flamingocourse/kernel';
import { Result } from 'true-myth';

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
  /** Milliseconds for a new connection. */
  connectMs: number;
  /** Milliseconds until the head of the answer; undefined leaves it to `signal`. */
  headMs: number | undefined;
  /** Aborted when the answer is not wanted any more. */
  signal: AbortSignal;
  /** Asked right before the request is written: `signal` is aborted only at the end of the turn of the event loop. */
  isWanted?: () => boolean;
  /** Told when the request is written. */
  onSent?: () => void;
}

/** Why there is no answer. */
export type AttemptFaultReason =
  | 'not-connected'
  /** Nobody listens at the address. */
  | 'refused'
  | 'broken'
  | 'timeout'
  | 'aborted';

/** An exchange without an answer. */
export interface AttemptFault {
  reason: AttemptFaultReason;
  /** Whether any byte of the request may have reached the server. */
  sent: boolean;
  cause: string;
}

/** An answer whose body is still to be read. */
export interface OpenAnswer {
  head: ServerHead;
  body: IncomingMessage;
  /**
   * Whether the connection failed. An answer without a length ends with its connection, and Node
   * reports such an answer as complete also when the connection was reset.
   */
  isBroken(): boolean;
  /** Gives the answer up; the server is told by the closed connection. */
  drop(): void;
}

/**
 * Sends a request and waits for the head of the answer. Nothing is sent once what had arrived at this process by the
 * time the connection was open says that the answer is not wanted any more.
 *
 * @example
 * const answer = await openAttempt({ url, method: 'POST', target: '/a/b', ...rest });
 * if (answer.isErr && !answer.error.sent) tryAnotherServer();
 */
export function openAttempt(attempt: AttemptRequest): Promise<Result<OpenAnswer, AttemptFault>> {
  return new Promise((resolve) => {
    const { method, target: path, headers, agent, signal } = attempt;
    const { hostname, port } = new URL(attempt.url);
    const req = request({ host: hostname, port, method, path, agent, headers, setHost: false });
    let settled = false;
    let sent = false;
    const settle = (result: Result<OpenAnswer, AttemptFault>): void => {
      if (settled) return;
      settled = true;
      stopConnectTimer();
      stopHeadTimer();
      resolve(result);
    };
    const fail = (reason: AttemptFaultReason, cause: string): void => {
      settle(Result.err({ reason: sent ? reason : notSentReason(reason), sent, cause }));
      req.destroy();
    };
    const abort = (): void => {
      fail('aborted', 'given up');
    };
    // a server without power never refuses: only this limit frees the caller for another server.
    const stopConnectTimer = onTimeOver(attempt.connectMs, () => {
      if (req.socket?.connecting !== false) fail('not-connected', 'connect timeout');
    });
    const stopHeadTimer = onTimeOver(attempt.headMs, () => {
      fail('timeout', 'no answer in time');
    });
    signal.addEventListener('abort', abort, { once: true });
    req.once('close', () => {
      signal.removeEventListener('abort', abort);
      fail('broken', 'connection closed');
    });
    let broken = false;
    req.on('error', (err: NodeJS.ErrnoException) => {
      broken = true;
      fail(err.code === 'ECONNREFUSED' ? 'refused' : 'broken', err.message);
    });
    req.on('response', (body) => {
      // what comes before the request belongs to another one.
      if (!sent) {
        fail('broken', 'an answer came before the request');
        return;
      }
      const { statusCode: status = 0, headers: answerHeaders, rawHeaders } = body;
      // an answer that breaks off while nobody reads it must not end the process.
      body.on('error', () => undefined);
      const drop = (): void => {
        req.destroy();
      };
      const head = { status, headers: answerHeaders, rawHeaders };
      if (endsWithConnection(body)) {
        body.socket.prependOnceListener('end', () => {
          if (wasReset(body.socket)) broken = true;
        });
      }
      settle(Result.ok({ head, body, drop, isBroken: () => broken }));
    });
    onceConnected(req, () => {
      if (settled) return;
      if (attempt.isWanted?.() === false) {
        abort();
        return;
      }
      sent = true;
      attempt.onSent?.();
      req.end(attempt.body);
    });
    if (signal.aborted) abort();
  });
}

/** Calls back when a request has an open connection and all that had arrived by then was read. */
function onceConnected(req: ClientRequest, listener: () => void): void {
  const connected = (): void => void pendingReads().then(listener);
  req.once('socket', (socket: Socket) => {
    if (socket.connecting) socket.once('connect', connected);
    else connected();
  });
}

function notSentReason(reason: AttemptFaultReason): AttemptFaultReason {
  return reason === 'aborted' || reason === 'refused' ? reason : 'not-connected';
}

/** Whether only the end of the connection tells where the answer ends. */
function endsWithConnection({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/**
 * Whether a connection that just ended was reset. libuv reports a reset that comes together with the
 * last bytes as a plain end, without an error; but only a connection that is still half open has an
 * address at its other end.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
