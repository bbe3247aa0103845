/** Gives instances a small share of a processor while many callers open new connections to them. */

import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { SoakProcess } from './soakProcess.js';
import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { HOST } from '../platform/world.js';
import { ProcessorShare } from './processorShare.js';

/** Shares of a processor that an instance may get. */
const SHARES = [0.12, 0.2, 0.3];
/** New connections per second, each with one request; more than such an instance can serve. */
const CALLS_PER_SECOND = 160;
const SEND_INTERVAL_MS = 25;
/** Milliseconds before the first call for which the instance already has its small share. */
const LEAD_MS = 200;
/** Time limit of the routes, and how much later an answer is held past it, in milliseconds. */
const ROUTE_MS = 1_500;
const HELD_MS = 500;
const CALLER_TIMEOUT_MS = 4_000;
/** Number of requests that reached their time limit from which the held ones are judged. */
const MIN_DUE = 8;

export class SoakScarcity {
  readonly #random: Random;
  /** Milliseconds from the sending of each request to its answer or the end of its connection. */
  readonly #tookMs: number[] = [];
  /** When requests were sent. */
  readonly sentAt: number[] = [];

  constructor(random: Random) {
    this.#random = random;
  }

  /** Requests of all such times, and those that were not answered at their time limit and later. */
  get figures(): { sent: number; due: number; held: number } {
    const due = this.#tookMs.filter((ms) => ms >= ROUTE_MS);
    const held = due.filter((ms) => ms >= ROUTE_MS + HELD_MS);
    return { sent: this.#tookMs.length, due: due.length, held: held.length };
  }

  /** The promise that is broken if most requests at their time limit are held on. */
  get broken(): string[] {
    const { due, held } = this.figures;
    if (due < MIN_DUE || held * 2 <= due) return [];
    return [
      `${String(held)} of ${String(due)} requests that reached their time limit were held on`,
    ];
  }

  /** Gives an instance a small share for a time; resolves when all its callers have ended. */
  async play(instance: SoakProcess, account: string, forMs: number): Promise<void> {
    if (instance.busy) return;
    instance.busy = true;
    const share = new ProcessorShare(instance, this.#random.pick(SHARES));
    await delay(LEAD_MS);
    const calls: Promise<void>[] = [];
    for (let sentMs = 0; sentMs < forMs; sentMs += SEND_INTERVAL_MS) {
      const count = (CALLS_PER_SECOND * SEND_INTERVAL_MS) / 1_000;
      for (let at = 0; at < count; at += 1) calls.push(this.#call(instance, account));
      await delay(SEND_INTERVAL_MS);
    }
    await Promise.all(calls);
    await share.stop();
    instance.busy = false;
  }

  #call({ port }: SoakProcess, account: string): Promise<void> {
    const headers = {
      host: HOST,
      'x-request-id': `scarce-${String(this.sentAt.length)}`,
      'x-deadline-ms': String(CALLER_TIMEOUT_MS),
      authorization: `Token key-of-${account}`,
    };
    const sentAt = performance.now();
    this.sentAt.push(sentAt);
    const to = { host: '127.0.0.1', port, path: '/look/1', method: 'POST', headers, agent: false };
    return new Promise((resolve) => {
      const req = request(to, (res) => {
        res.resume();
        res.on('error', () => undefined);
      });
      const timer = setTimeout(() => req.destroy(), CALLER_TIMEOUT_MS);
      req.on('error', () => undefined);
      req.on('close', () => {
        clearTimeout(timer);
        this.#tookMs.push(performance.now() - sentAt);
        resolve();
      });
      req.end('x=1');
    });
  }
}
