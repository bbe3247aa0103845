/** Log lines and counters of connections that were closed because of a limit on clients. */

import type { ClientClose } from '@flamingocourse/kernel';
import type { ListenerName } from '../types/clientLimits.js';
import type { GatewayContext } from '../types/context.js';

/** Milliseconds between two lines. */
const LINE_MS = 1_000;

/** Records the closes of one listener; writes at most one line a second. */
export class ClientLimitLog {
  readonly #context: GatewayContext;
  readonly #listener: ListenerName;
  /** Closes since the last line. */
  readonly #counts = new Map<ClientClose, number>();
  #lineAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(context: GatewayContext, listener: ListenerName) {
    this.#context = context;
    this.#listener = listener;
  }

  /** Records that a connection was closed. */
  closed(cause: ClientClose): void {
    this.#context.metrics.clientClosed(this.#listener, cause);
    this.#counts.set(cause, (this.#counts.get(cause) ?? 0) + 1);
    if (this.#timer) return;
    const waitMs = this.#lineAt + LINE_MS - this.#context.clock.now();
    if (waitMs <= 0) this.#write();
    else
      this.#timer = setTimeout(() => {
        this.#write();
      }, waitMs).unref();
  }

  #write(): void {
    this.#timer = undefined;
    this.#lineAt = this.#context.clock.now();
    const counts = [...this.#counts].map(([cause, count]) => `${cause} ${String(count)}`);
    this.#counts.clear();
    this.#context.log.write('clients-closed', {
      listener: this.#listener,
      connections: counts.join(', '),
    });
  }
}
