/** Asks other instances what began a stream. */

import type {
  FleetInstance,
  ServiceName,
  StreamHolders,
  StreamKey,
  StreamKnowledge,
} from '@flamingocourse/core';
import type { GatewayContext } from '../types/context.js';
import type { StreamCalls } from '../types/streamCalls.js';

/** Instances of this data centre, and other data centres, that are asked for a stream. */
const ASKED_NEAR = 2;
const ASKED_FAR = 3;
/** Knowledge of a stream that is known nowhere. */
export const NOBODY_KNOWS: StreamKnowledge = { type: 'unknown' };

/** What instances know of a stream, or `unreached` if some that may know it could not be asked. */
export type StreamFinding = StreamKnowledge | { type: 'unreached' };

/**
 * Question for one stream.
 *
 * @example
 * const inquiry = new StreamInquiry(context, calls, holders, { key, services });
 * const knowledge = await inquiry.ask();
 * const finding = knowledge.type === 'unknown' ? await inquiry.askOthers() : knowledge;
 */
export class StreamInquiry {
  readonly #context: GatewayContext;
  readonly #calls: StreamCalls;
  readonly #holders: StreamHolders;
  readonly #stream: { key: StreamKey; services: ServiceName[] };
  readonly #asked = new Set<string>();
  readonly #answered = new Set<string>();

  constructor(
    context: GatewayContext,
    calls: StreamCalls,
    holders: StreamHolders,
    stream: { key: StreamKey; services: ServiceName[] },
  ) {
    this.#context = context;
    this.#calls = calls;
    this.#holders = holders;
    this.#stream = stream;
  }

  /** Asks all holders at once; the first that knows the stream decides, the others only if none does. */
  ask(): Promise<StreamKnowledge> {
    return this.#askAll(this.#holders.toAsk(this.#stream.key, ASKED_NEAR, ASKED_FAR));
  }

  /**
   * Asks others in place of those that did not answer. `unreached` if parts of the fleet still have not: an
   * instance there may know the stream.
   */
  async askOthers(): Promise<StreamFinding> {
    if (this.#holders.areReached(this.#answered)) return NOBODY_KNOWS;
    const { key } = this.#stream;
    const knowledge = await this.#askAll(this.#holders.toAskNext(key, this.#asked, this.#answered));
    if (knowledge.type !== 'unknown') return knowledge;
    return this.#holders.areReached(this.#answered) ? NOBODY_KNOWS : { type: 'unreached' };
  }

  async #askAll(peers: readonly FleetInstance[]): Promise<StreamKnowledge> {
    const known = peers.map(async (peer) => {
      const knowledge = await this.#askPeer(peer);
      if (knowledge.type === 'unknown') throw new UnknownStream();
      return knowledge;
    });
    return Promise.any(known).catch(() => NOBODY_KNOWS);
  }

  async #askPeer(peer: FleetInstance): Promise<StreamKnowledge> {
    const { key, services } = this.#stream;
    this.#asked.add(peer.name);
    const answer = await this.#calls.find(peer, key, services);
    // without an answer the stream stays unknown, which the log line of the request tells.
    if (answer.isErr) return NOBODY_KNOWS;
    this.#answered.add(peer.name);
    const { knowledge, software } = answer.value;
    const now = this.#context.clock.now();
    for (const [service, versions] of Object.entries(software)) {
      for (const version of versions) this.#context.software.seen.observe(service, version, now);
    }
    return knowledge;
  }
}

/** An instance does not know a stream; ends only its own question. */
class UnknownStream extends Error {}
