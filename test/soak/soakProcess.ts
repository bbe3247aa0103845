/** One real process of ours, started from the bundle and handled by signals only. */

import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Largest tail of a process's output that is kept for a report, in characters. */
const KEPT_OUTPUT = 200_000;

export class SoakProcess {
  readonly port: number;
  /** Bundle that the next start runs. */
  bundle = 'target/flamingocourse.mjs';
  output = '';
  /** Whether a restart is under way. */
  busy = false;
  /** When it was paused, woken, told something or ended, by the steady clock. */
  readonly disturbedAt: number[] = [];
  /** Ends that no signal of ours caused. */
  ownEnds: string[] = [];
  readonly #file: string;
  #child: ChildProcess | undefined;
  #expected = false;
  #isUp = false;

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
    this.#expected = false;
    this.#isUp = false;
    const child = spawn(process.execPath, [this.bundle], {
      env: { ...process.env, FLAMINGOCOURSE_CONFIG: this.#file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (chunk: Buffer): void => {
      if (this.#child === child) this.#isUp = true;
      this.output = (this.output + chunk.toString()).slice(-KEPT_OUTPUT);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      if (!this.#expected) this.ownEnds.push(`${this.name}: ${String(code ?? signal)}`);
    });
    this.#child = child;
  }

  /** Whether it has said its first line; before that the runtime is starting and handles no signal. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Pauses, wakes up or tells the process something; it goes on afterwards. */
  signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.disturbedAt.push(performance.now());
    this.#child?.kill(signal);
  }

  /** Ends the process and resolves once it is gone; a paused one is woken up first. */
  async end(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.#child;
    if (child?.exitCode !== null || child.signalCode !== null) return;
    this.#expected = true;
    this.disturbedAt.push(performance.now());
    const gone = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGCONT');
    child.kill(signal);
    await gone;
  }
}
