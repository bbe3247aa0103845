/** One router process: start, stop, kill, suspend and resume, always by its own process id. */

import type { ChildProcess } from 'node:child_process';
import type { RouterCommand, RouterProcessState, RouterSlot } from '../../types/fleetRunner.js';
import { spawn } from 'node:child_process';
import { closeSync, existsSync, openSync, readFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import { LabError } from '../../utils/labError.js';

/** Options of a router process. */
export interface RouterProcessOptions {
  slot: RouterSlot;
  entryUrl: string;
  meshUrl: string;
  command: RouterCommand;
  /** Receives standard output and standard error. */
  logFile: string;
  readyTimeoutMs: number;
  stopTimeoutMs: number;
}

/** Exit code or signal of an ended process; both are `null` if it could not be started. */
export interface ProcessEnd {
  code: number | null;
  signal: NodeJS.Signals | null;
}

const READY_POLL_MS = 50;

/** A router process that can be started again on the same addresses. */
export class RouterProcess {
  readonly slot: RouterSlot;
  readonly entryUrl: string;
  readonly meshUrl: string;
  readonly logFile: string;
  readonly #options: RouterProcessOptions;
  #child: ChildProcess | undefined;
  #ended: Promise<ProcessEnd> = Promise.resolve({ code: null, signal: null });
  #state: RouterProcessState = 'stopped';

  constructor(options: RouterProcessOptions) {
    this.slot = options.slot;
    this.entryUrl = options.entryUrl;
    this.meshUrl = options.meshUrl;
    this.logFile = options.logFile;
    this.#options = options;
  }

  get state(): RouterProcessState {
    return this.#state;
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Starts the process; {@link ready} resolves once it serves requests. */
  start(): void {
    if (this.#state !== 'stopped') return;
    const { file, args } = this.#options.command;
    const log = openSync(this.logFile, 'a');
    const child = spawn(file, args, { stdio: ['ignore', log, log] });
    closeSync(log);
    this.#child = child;
    this.#state = 'running';
    this.#ended = new Promise((resolve) => {
      const settle = (code: number | null, signal: NodeJS.Signals | null): void => {
        this.#state = 'stopped';
        resolve({ code, signal });
      };
      child.once('exit', settle);
      child.once('error', () => {
        settle(null, null);
      });
    });
  }

  /** Resolves once `GET /readyz` returns 200; rejects if the process ends or after the timeout. */
  async ready(): Promise<void> {
    const end = Date.now() + this.#options.readyTimeoutMs;
    while (!(await isReady(this.entryUrl))) {
      const problem = this.#readyError(Date.now() > end);
      if (problem) throw problem;
      await delay(READY_POLL_MS);
    }
  }

  /** SIGKILL: ends the process immediately; all requests in progress are lost. */
  async kill(): Promise<ProcessEnd> {
    this.#child?.kill('SIGKILL');
    return this.#ended;
  }

  /** SIGSTOP: suspends the process, which still assumes that it holds its tokens. */
  freeze(): void {
    if (this.#state !== 'running') return;
    this.#child?.kill('SIGSTOP');
    this.#state = 'frozen';
  }

  /** SIGCONT: the process continues where it was suspended. */
  thaw(): void {
    if (this.#state !== 'frozen') return;
    this.#child?.kill('SIGCONT');
    this.#state = 'running';
  }

  /** SIGTERM, then SIGKILL after the stop timeout; the result contains the exit code or signal. */
  async terminate(): Promise<ProcessEnd> {
    this.thaw();
    this.#child?.kill('SIGTERM');
    const timer = setTimeout(() => this.#child?.kill('SIGKILL'), this.#options.stopTimeoutMs);
    const end = await this.#ended;
    clearTimeout(timer);
    return end;
  }

  #readyError(late: boolean): LabError | undefined {
    const { instance, dataCentre } = this.slot;
    const where = `router ${dataCentre}/${instance}; see ${this.logFile}`;
    if (this.#state === 'stopped') {
      const line = lastLine(this.logFile);
      return new LabError('ended-early', `${where}: it has ended; its last line: ${line}`);
    }
    return late ? new LabError('not-ready', `${where}: /readyz does not answer 200`) : undefined;
  }
}

function lastLine(file: string): string {
  const lines = existsSync(file) ? readFileSync(file, 'utf8').trimEnd().split('\n') : [];
  return lines.at(-1) ?? 'none';
}

async function isReady(entryUrl: string): Promise<boolean> {
  try {
    const res = await fetch(`${entryUrl}/readyz`, { signal: AbortSignal.timeout(1_000) });
    await res.body?.cancel();
    return res.status === 200;
  } catch {
    return false;
  }
}
