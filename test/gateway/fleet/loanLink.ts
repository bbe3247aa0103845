/** Delivers one instance's calls to the others in memory, with latency and faults. */

import type {
  FleetInstance,
  ForwardedReport,
  LoanAnswer,
  LoanRequest,
  PrepaidReportOutcome,
} from '@flamingocourse/core';
import type { PrepaidService } from '../../../packages/gateway/src/node/prepaidService.js';
import type { TestProcess } from './storeLink.js';
import { setTimeout as delay } from 'node:timers/promises';
import { Result } from 'true-myth';
import { LoanCalls } from '../../../packages/gateway/src/types/loans.js';
import { never } from './storeLink.js';

/** One-way latency in milliseconds between two instances of a data centre. */
const LATENCY_MS = 1;
/** Milliseconds after which a call without an answer times out. */
const CALL_TIMEOUT_MS = 230;

/** Finds another instance by name; undefined while it does not run. */
export type FindPeer = (name: string) => Peer | undefined;

export interface Peer {
  prepaid: PrepaidService;
  process: TestProcess;
}

export class LoanLink extends LoanCalls {
  readonly #find: FindPeer;
  readonly #process: TestProcess;
  readonly #random: () => number;

  constructor(find: FindPeer, process: TestProcess, random: () => number) {
    super();
    this.#find = find;
    this.#process = process;
    this.#random = random;
  }

  override ask({ name }: FleetInstance, request: LoanRequest): Promise<Result<LoanAnswer, string>> {
    return this.#call(name, async (prepaid) => {
      return Result.ok(await prepaid.lend(structuredClone(request)));
    });
  }

  override write(
    { name }: FleetInstance,
    forwarded: ForwardedReport,
  ): Promise<Result<PrepaidReportOutcome, string>> {
    return this.#call(name, (prepaid) => prepaid.writeFor(structuredClone(forwarded)));
  }

  async #call<T>(
    name: string,
    run: (prepaid: PrepaidService) => Promise<Result<T, string>>,
  ): Promise<Result<T, string>> {
    if (this.#process.hasEnded()) return never();
    await delay(LATENCY_MS);
    const peer = this.#find(name);
    if (!peer) return Result.err('connection refused');
    if (this.#isCutFrom(peer) || this.#process.hasEnded()) return giveUp();
    const answer = await run(peer.prepaid);
    const isLost = this.#random() < this.#process.faults.lostAnswers;
    if (isLost || this.#isCutFrom(peer) || peer.process.hasEnded()) return giveUp();
    await delay(LATENCY_MS);
    return answer.map((value) => structuredClone(value));
  }

  #isCutFrom({ process }: Peer): boolean {
    return this.#process.faults.isPeerCut || process.faults.isPeerCut;
  }
}

async function giveUp<T>(): Promise<Result<T, string>> {
  await delay(CALL_TIMEOUT_MS);
  return Result.err('no answer in time');
}
