/** One instance's way to its lenders, without network. */

import type { FleetInstance, LoanAnswer, LoanRequest } from '@flamingocourse/core';
import type { PrepaidService } from '../../../packages/gateway/src/node/prepaidService.js';
import type { ProcessLife } from './storeLink.js';
import { setTimeout as delay } from 'node:timers/promises';
import { Result } from 'true-myth';
import { LoanCalls } from '../../../packages/gateway/src/types/loans.js';
import { never } from './storeLink.js';

/** Milliseconds for each way between two instances of a data centre. */
const WAY_MS = 1;
/** Milliseconds after which a call without an answer is given up. */
const CALL_LIMIT_MS = 230;

/** Another instance as it is reached; undefined while it does not run. */
export type FindPeer = (name: string) => Peer | undefined;

export interface Peer {
  prepaid: PrepaidService;
  process: ProcessLife;
}

export class LoanLink extends LoanCalls {
  readonly #find: FindPeer;
  readonly #process: ProcessLife;
  readonly #random: () => number;

  constructor(find: FindPeer, process: ProcessLife, random: () => number) {
    super();
    this.#find = find;
    this.#process = process;
    this.#random = random;
  }

  override async ask(
    { name }: FleetInstance,
    request: LoanRequest,
  ): Promise<Result<LoanAnswer, string>> {
    if (this.#process.isOver()) return never();
    await delay(WAY_MS);
    const peer = this.#find(name);
    if (!peer) return Result.err('nobody listens');
    if (this.#isCutFrom(peer) || this.#process.isOver()) return giveUp();
    const answer = await peer.prepaid.lend(structuredClone(request));
    const isLost = this.#random() < this.#process.faults.lostAnswers;
    if (isLost || this.#isCutFrom(peer) || peer.process.isOver()) return giveUp();
    await delay(WAY_MS);
    return Result.ok(structuredClone(answer));
  }

  #isCutFrom({ process }: Peer): boolean {
    return this.#process.faults.isPeerCut || process.faults.isPeerCut;
  }
}

async function giveUp(): Promise<Result<LoanAnswer, string>> {
  await delay(CALL_LIMIT_MS);
  return Result.err('no answer in time');
}
