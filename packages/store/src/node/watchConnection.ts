/**
 * One connection of a watch: reads newline-delimited JSON until it ends, fails or is idle too long.
 */

import type { Agent, IncomingMessage } from 'node:http';
import type { WatchEndReason } from '../runtime/storeDialect.js';
import { request } from 'node:http';

/** Options of one connection. */
export interface LineStreamOptions {
  url: URL;
  agent: Agent;
  signal: AbortSignal;
  /** Milliseconds without data after which the connection is closed. */
  idleMs: number;
  /** Maximum length of a line that is not complete yet, in UTF-16 code units. */
  maxLineBytes: number;
  onLine: (line: string) => void;
}

const statusTooOld = 410;
const statusThrottled = 429;

/** Reads one connection to its end; never rejects. */
export function streamLines(call: LineStreamOptions): Promise<WatchEndReason> {
  return new Promise((resolve) => {
    const req = request(call.url, { agent: call.agent });
    const finish = (end: WatchEndReason): void => {
      clearTimeout(idleTimer);
      call.signal.removeEventListener('abort', stop);
      resolve(end);
      req.destroy();
    };
    const stop = (): void => {
      finish('stopped');
    };
    // a platform that stops sending may keep the TCP connection open: without this timer the watch
    // would wait forever and miss all later changes. In a healthy watch, bookmarks restart the
    // timer.
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

function classifyRefusal(status: number): WatchEndReason | undefined {
  if (status === statusTooOld) return 'too-old';
  if (status === statusThrottled) return 'throttled';
  return status === 200 ? undefined : 'refused';
}

function readLines(
  res: IncomingMessage,
  call: LineStreamOptions,
  idleTimer: NodeJS.Timeout,
  finish: (end: WatchEndReason) => void,
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
