/** A server of a run in a process of its own, so that a signal can pause it. */

import type { ChildProcess } from 'node:child_process';
import type { SeenRequest } from '../platform/fakeServer.js';
import type { ServerCommand, ServerNotice } from './soakServerMessages.js';
import { fork } from 'node:child_process';
import { FakeServer } from '../platform/fakeServer.js';

const PROGRAM = 'test/soak/soakServerProcess.ts';
const FLAGS = ['--conditions=@flamingocourse/source', '--import=tsx'];

export interface ServerSpec {
  name: string;
  software: string;
  /** Seed of its copies. */
  seed: number;
}

export class SoakServer {
  /** Requests that it received, on the monotonic clock of this process, once they are collected. */
  seen: SeenRequest[] = [];
  /** Number of copies that it sent. */
  copies = 0;

  private constructor(
    readonly spec: ServerSpec,
    readonly address: string,
    readonly process: ChildProcess,
  ) {}

  static async start(spec: ServerSpec): Promise<SoakServer> {
    const { name, software, seed } = spec;
    const child = fork(PROGRAM, [name, software, String(seed)], { execArgv: FLAGS });
    const { address } = await noticeOf(child, 'listening');
    return new SoakServer(spec, address, child);
  }

  get name(): string {
    return this.spec.name;
  }

  /** The entry that the server writes into the list of servers. */
  entry(service: string): Record<string, unknown> {
    const server = new FakeServer(this.name);
    Object.assign(server, { address: this.address, software: this.spec.software, bornAt: 1 });
    return server.entry(service, { slots: 16 });
  }

  signal(signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.process.kill(signal);
  }

  stopFaults(): void {
    this.#command('stop-faults');
  }

  async collect(): Promise<void> {
    const collected = noticeOf(this.process, 'collected');
    this.#command('collect');
    const { seen, timeOrigin, copies } = await collected;
    const shift = timeOrigin - performance.timeOrigin;
    this.seen = seen.map(({ at, endedAt, ...rest }) => {
      return {
        ...rest,
        at: at + shift,
        endedAt: endedAt === undefined ? undefined : endedAt + shift,
      };
    });
    this.copies = copies;
  }

  end(): void {
    this.process.kill('SIGKILL');
  }

  #command(command: ServerCommand): void {
    if (!this.process.connected) throw new Error(`the process of ${this.name} ended`);
    this.process.send(command);
  }
}

/** Waits for a notice; fails if the process ends before that. */
function noticeOf<K extends ServerNotice['kind']>(
  child: ChildProcess,
  kind: K,
): Promise<Extract<ServerNotice, { kind: K }>> {
  return new Promise((resolve, reject) => {
    const onMessage = (notice: ServerNotice): void => {
      if (notice.kind !== kind) return;
      child.off('message', onMessage);
      child.off('exit', onExit);
      resolve(notice as Extract<ServerNotice, { kind: K }>);
    };
    const onExit = (): void => {
      reject(new Error('the process of a server ended'));
    };
    child.on('message', onMessage);
    child.once('exit', onExit);
  });
}
