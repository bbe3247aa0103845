/** One connection of a watch: newline-delimited JSON until it ends, breaks or falls silent. */

import type { Agent, IncomingMessage } from 'node:http';
import type { WatchEnd } from '../runtime/storeDialect.js';
import { request } from 'node:http';

/** A connection to open. */
export interface LineWatch {
  url: URL;
  agent: Agent;
  signal: AbortSignal;
  /** Milliseconds without a line after which the connection is given up. */
  idleMs: number;
  /** Longest line, in bytes. */
  maxLineBytes: number;
  onLine: (line: string) => void;
}

const statusTooOld = 410;
const statusThrottled = 429;

/** Follows one connection; never rejects. */
export function followLines(call: LineWatch): Promise<WatchEnd> {
  return new Promise((resolve) => {
    const req = request(call.url, { agent: call.agent });
    const finish = (end: WatchEnd): void => {
      clearTimeout(idleTimer);
      call.signal.removeEventListener('abort', stop);
      resolve(end);
      req.destroy();
    };
    const stop = (): void => {
      finish('stopped');
    };
    // a platform that went silent keeps the TCP connection open: without this timer the watch would
    // wait for ever and later changes would never arrive. Bookmarks keep a healthy watch above it.
    const idleTimer = setTimeout(() => {
      finish('silent');
    }, call.idleMs);
    if (call.signal.aborted) stop();
    call.signal.addEventListener('abort', stop);
    req.on('error', () => {
      finish('broken');
    });
    req.on('response', (res) => {
      const refusal = classifyRefusal(res.statusCode ?? 0);
      if (refusal) finish(refusal);
      else readLines(res, call, idleTimer, finish);
    });
    req.end();
  });
}

function classifyRefusal(status: number): WatchEnd | undefined {
  if (status === statusTooOld) return 'too-old';
  if (status === statusThrottled) return 'throttled';
  return status === 200 ? undefined : 'refused';
}

function readLines(
  res: IncomingMessage,
  call: LineWatch,
  idleTimer: NodeJS.Timeout,
  finish: (end: WatchEnd) => void,
): void {
  let rest = '';
  res.setEncoding('utf8');
  res.on('data', (chunk: string) => {
    idleTimer.refresh();
    const lines = (rest + chunk).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > call.maxLineBytes) {
      finish('broken');
      return;
    }
    for (const line of lines) if (!call.signal.aborted) call.onLine(line);
  });
  res.on('error', () => {
    finish('broken');
  });
  res.on('end', () => {
    finish('ended');
  });
}
