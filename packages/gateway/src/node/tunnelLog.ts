/** Log lines and counters of the tunnels that this instance carries for others. */

import type { GatewayContext } from '../types/context.js';

/** Why a tunnel was refused. */
export type TunnelRefusalReason =
  | 'stopping'
  | 'no-room'
  | 'not-listed'
  | 'leaving'
  | 'evacuated'
  | 'connect-refused'
  | 'connect-failed'
  | 'connect-timeout';

/** Milliseconds between two lines about refused tunnels to the same server. */
const REFUSED_LINE_MS = 1_000;
/** Maximum number of servers with a line about refused tunnels within that time. */
const MAX_REFUSED_LINES = 256;

interface ServerTotals {
  open: number;
  opened: number;
  bytes: number;
}

/** Records the tunnels of one process. Times are in milliseconds of a monotonic clock. */
export class TunnelLog {
  readonly #context: GatewayContext;
  readonly #totals = new Map<string, ServerTotals>();
  readonly #refusedLines = new Map<string, number>();
  #open = 0;

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Records a tunnel that was opened; writes a line if it is the only one to the server. */
  opened(server: string): void {
    const totals = this.#totals.get(server) ?? { open: 0, opened: 0, bytes: 0 };
    if (totals.open === 0) this.#context.log.write('tunnels-opened', { server });
    totals.open += 1;
    totals.opened += 1;
    this.#totals.set(server, totals);
    this.#open += 1;
    this.#context.metrics.tunnelOpened(this.#open);
  }

  /** Records the end of a tunnel; writes a line if it was the last one to the server. */
  closed(server: string, bytes: number): void {
    this.#open -= 1;
    this.#context.metrics.tunnelClosed(bytes, this.#open);
    const totals = this.#totals.get(server);
    if (!totals) return;
    totals.open -= 1;
    totals.bytes += bytes;
    if (totals.open > 0) return;
    this.#totals.delete(server);
    const { opened } = totals;
    this.#context.log.write('tunnels-closed', { server, opened, bytes: totals.bytes });
  }

  /** Records a refused tunnel; writes at most one line per server and second. */
  refused(server: string, reason: TunnelRefusalReason, now: number): void {
    this.#context.metrics.tunnelRefused(reason);
    if (!this.#mayWriteRefused(server, now)) return;
    this.#refusedLines.set(server, now);
    this.#context.log.write('tunnel-refused', { server, reason, open: this.#open });
  }

  #mayWriteRefused(server: string, now: number): boolean {
    for (const [id, at] of this.#refusedLines) {
      if (now - at >= REFUSED_LINE_MS) this.#refusedLines.delete(id);
    }
    return !this.#refusedLines.has(server) && this.#refusedLines.size < MAX_REFUSED_LINES;
  }
}
