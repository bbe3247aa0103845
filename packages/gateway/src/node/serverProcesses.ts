/** Knows which process of a server is behind each connection, by asking the process itself. */

import type { BackendServer, ConnectedProcess, ProcessVerdict } from '@flamingocourse/core';
import type { HeldBytes } from '@flamingocourse/kernel';
import type { Duplex } from 'node:stream';
import type { GatewayContext } from '../types/context.js';
import type { AttemptFault } from './httpAttempt.js';
import type { ServerAgent } from './serverAgent.js';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { judgeProcess } from '@flamingocourse/core';
import { BodyBuffers, ByteCollector, onTimeout } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { openAttempt } from './httpAttempt.js';

/** Milliseconds for the answer; it takes no slot of the server. */
const ANSWER_MS = 250;
/** Maximum bytes of an answer that are read. */
const MAX_ANSWER_BYTES = 1024 * 1024;
/** Maximum bytes of all answers that are read at a time. */
const MAX_TOTAL_BYTES = 8 * 1024 * 1024;
const NO_BODY = Buffer.alloc(0);

/**
 * Asks a process once on each connection. No later process can answer on that connection, so what the
 * process named holds until the connection ends.
 *
 * @example
 * const found = await processes.find(server, signal);
 * if (found.isOk && found.value === 'listed') sendOver(agent);
 */
export class ServerProcesses {
  readonly #context: GatewayContext;
  readonly #agent: ServerAgent;
  readonly #listConfirmedAt: () => number;
  readonly #buffers = new BodyBuffers(MAX_TOTAL_BYTES, MAX_ANSWER_BYTES);
  readonly #known = new WeakMap<Duplex, ConnectedProcess>();

  /** @param listConfirmedAt returns when the list of servers was last confirmed. */
  constructor(context: GatewayContext, agent: ServerAgent, listConfirmedAt: () => number) {
    this.#context = context;
    this.#agent = agent;
    this.#listConfirmedAt = listConfirmedAt;
  }

  /**
   * Finds out which process the next request to a server reaches, and asks it if that is not known.
   * The error says why the server could not be asked.
   */
  async find(
    server: BackendServer,
    signal: AbortSignal,
  ): Promise<Result<ProcessVerdict, AttemptFault>> {
    if (server.bornAt === undefined) return Result.ok('listed');
    const connection = this.#nextConnection(server);
    const known = connection && this.verdictOn(connection, server);
    return known === undefined ? this.#ask(server, signal) : Result.ok(known);
  }

  /** Verdict on the process behind a connection; undefined if it was not asked. */
  verdictOn(connection: Duplex, server: BackendServer): ProcessVerdict | undefined {
    if (server.bornAt === undefined) return 'listed';
    const known = this.#known.get(connection);
    return known && judgeProcess(server, known, this.#listConfirmedAt());
  }

  /** The idle connection that the next request takes; those to a process of before are closed. */
  #nextConnection(server: BackendServer): Duplex | undefined {
    for (;;) {
      const connection = this.#agent.nextIdle(server.url);
      if (!connection || this.verdictOn(connection, server) !== 'other') return connection;
      connection.destroy();
    }
  }

  async #ask(
    server: BackendServer,
    signal: AbortSignal,
  ): Promise<Result<ProcessVerdict, AttemptFault>> {
    const { clock, dialects, metrics, rules, settings } = this.#context;
    const { id, url } = server;
    // a server with a rate limit may count this as a request.
    rules.recordSent(server, clock.now());
    const { target, headers } = dialects.servers.stateRequest(id, new URL(url).host);
    const opened = await openAttempt({
      url,
      method: 'GET',
      target,
      headers,
      body: NO_BODY,
      agent: this.#agent,
      connectMs: settings.servers.connectMs,
      headMs: ANSWER_MS,
      signal,
    });
    if (opened.isErr) {
      metrics.processAsked('no-answer');
      return Result.err(opened.error);
    }
    const { head, body } = opened.value;
    const connection = body.socket;
    const connectedAt = clock.now();
    const stopTimer = onTimeout(ANSWER_MS, () => {
      opened.value.drop();
    });
    const held = this.#buffers.open();
    const text = dialects.servers.answersCheck(head) ? await readText(body, held) : undefined;
    held.release();
    stopTimer();
    if (text === undefined) {
      opened.value.drop();
      metrics.processAsked('no-answer');
      return Result.err({ reason: 'broken', sent: true, cause: 'its state was not read' });
    }
    const known = { bornAt: dialects.servers.bornAt(head, text), connectedAt };
    this.#known.set(connection, known);
    const verdict = judgeProcess(server, known, this.#listConfirmedAt());
    metrics.processAsked(verdict);
    // the connection becomes idle after the end of the answer.
    await nextTurn();
    return Result.ok(verdict);
  }
}

/** Reads a short answer; undefined if it is too long or breaks off. */
async function readText(body: AsyncIterable<Buffer>, held: HeldBytes): Promise<string | undefined> {
  const collector = new ByteCollector();
  try {
    for await (const chunk of body) {
      if (!held.addChunk(chunk.length)) return undefined;
      collector.add(chunk);
    }
  } catch {
    // the caller reports the broken answer.
    return undefined;
  }
  return collector.toBuffer().toString();
}
