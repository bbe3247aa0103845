/** One real process, started from the bundle and controlled by signals only. */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Characters kept from the end of a process's output for the report. */
const MAX_OUTPUT_CHARS = 4_000_000;

/** A stop by SIGTERM, on the monotonic clock. */
export interface StopWindow {
  at: number;
  /** Time at which the process was gone; `Infinity` while it runs. */
  exitedAt: number;
}

export class SoakProcess {
  readonly port: number;
  /** Bundle that the next start runs. */
  bundle = 'target/flamingocourse.cjs';
  /** Flags of Node.js for the next start. */
  nodeFlags: readonly string[] = [];
  output = '';
  /** Whether a restart is in progress. */
  busy = false;
  /** Times of all signals to the process, on the monotonic clock. */
  readonly disturbedAt: number[] = [];
  /** Times of the signals that killed, paused or continued the process, on the monotonic clock. */
  readonly harmedAt: number[] = [];
  readonly stops: StopWindow[] = [];
  /** Times of all starts, on the monotonic clock. */
  readonly startedAt: number[] = [];
  /** Times in which the process did not reach the store, on the monotonic clock. */
  readonly storeCuts: { from: number; until: number }[] = [];
  /** Exits that were not requested, with exit code or signal. */
  unexpectedExits: string[] = [];
  readonly #file: string;
  #child: ChildProcess | undefined;
  #isExitExpected = false;
  #hasOutput = false;

  constructor(
    readonly name: string,
    directory: string,
    readonly settings: { listen: Record<'entry' | 'ready' | 'mesh', string> } & Record<
      string,
      unknown
    >,
  ) {
    this.#file = join(directory, `${name}.jsonc`);
    this.port = Number(settings.listen.entry.split(':')[1]);
  }

  async start(): Promise<void> {
    await writeFile(this.#file, JSON.stringify({ instance: this.name, ...this.settings }));
    this.#isExitExpected = false;
    this.#hasOutput = false;
    this.startedAt.push(performance.now());
    const child = spawn(process.execPath, [...this.nodeFlags, this.bundle], {
      env: { ...process.env, FLAMINGOCOURSE_CONFIG: this.#file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (chunk: Buffer): void => {
      if (this.#child === child) this.#hasOutput = true;
      this.output = (this.output + chunk.toString()).slice(-MAX_OUTPUT_CHARS);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      if (!this.#isExitExpected) this.unexpectedExits.push(this.#describeExit(code ?? signal));
    });
    this.#child = child;
  }

  /** Process id; undefined before the first start. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  /** Whether the process has written output; before that, Node is starting and handles no signal. */
  get hasOutput(): boolean {
    return this.#hasOutput;
  }

  /** Sends a signal that does not end the process. */
  signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    const now = performance.now();
    this.disturbedAt.push(now);
    if (signal !== 'SIGHUP') this.harmedAt.push(now);
    this.#child?.kill(signal);
  }

  #describeExit(code: unknown): string {
    const now = performance.now();
    const since = (times: readonly number[]): string =>
      String(Math.round(now - (times.at(-1) ?? 0)));
    const output = this.#hasOutput ? 'with' : 'without';
    return `${this.name}: ${String(code)}, ${since(this.startedAt)} ms after its start, ${output} output, last signal ${since(this.disturbedAt)} ms ago`;
  }

  /** Ends the process and resolves once it has exited; a paused process is continued first. */
  async end(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.#child;
    if (child?.exitCode !== null || child.signalCode !== null) return;
    this.#isExitExpected = true;
    const stop: StopWindow = { at: performance.now(), exitedAt: Infinity };
    this.disturbedAt.push(stop.at);
    if (signal === 'SIGKILL') this.harmedAt.push(stop.at);
    else this.stops.push(stop);
    const exited = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGCONT');
    child.kill(signal);
    await exited;
    stop.exitedAt = performance.now();
  }
}
