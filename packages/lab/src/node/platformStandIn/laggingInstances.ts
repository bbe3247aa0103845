/** Instance list whose changes become visible after a delay. */

import type { InstanceRecord } from '@flamingocourse/core';

interface PendingChange {
  visibleAt: number;
  service: string;
  items: InstanceRecord[];
}

/** Instances by service, as the platform returns them. */
export class LaggingInstances {
  readonly #lagMs: number;
  readonly #visible = new Map<string, InstanceRecord[]>();
  #pending: PendingChange[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Replaces the list of a service; the change is visible after the delay. */
  replace(service: string, items: InstanceRecord[], now: number): void {
    this.#pending.push({ visibleAt: now + this.#lagMs, service, items });
  }

  /** Returns the visible instances of a service. */
  list(service: string, now: number): InstanceRecord[] {
    this.#applyDue(now);
    return this.#visible.get(service) ?? [];
  }

  /** Returns the visible instances of all services. */
  all(now: number): InstanceRecord[] {
    this.#applyDue(now);
    return [...this.#visible.values()].flat();
  }

  #applyDue(now: number): void {
    const due = this.#pending.filter((change) => change.visibleAt <= now);
    this.#pending = this.#pending.filter((change) => change.visibleAt > now);
    for (const change of due) this.#visible.set(change.service, change.items);
  }
}
