/** Instance list that shows each change only after a lag. */

import type { InstanceRecord } from '@flamingocourse/core';

interface PendingChange {
  visibleAt: number;
  service: string;
  items: InstanceRecord[];
}

/** Instances by service, as the platform shows them. */
export class LaggingInstances {
  readonly #lagMs: number;
  readonly #visible = new Map<string, InstanceRecord[]>();
  #pending: PendingChange[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Replaces the list of a service; visible after the lag. */
  replace(service: string, items: InstanceRecord[], now: number): void {
    this.#pending.push({ visibleAt: now + this.#lagMs, service, items });
  }

  /** What the list shows of a service at present. */
  list(service: string, now: number): InstanceRecord[] {
    this.#settle(now);
    return this.#visible.get(service) ?? [];
  }

  /** What the list shows of all services. */
  all(now: number): InstanceRecord[] {
    this.#settle(now);
    return [...this.#visible.values()].flat();
  }

  #settle(now: number): void {
    const due = this.#pending.filter((change) => change.visibleAt <= now);
    this.#pending = this.#pending.filter((change) => change.visibleAt > now);
    for (const change of due) this.#visible.set(change.service, change.items);
  }
}
