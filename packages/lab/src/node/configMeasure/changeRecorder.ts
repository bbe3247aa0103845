/** Records when accepted changes come into force at each router, and whether a change reverts. */

import type { MeasuredRouter } from './measuredFleet.js';

/** An accepted change; its number is the opening budget of the account. */
export interface AcceptedChange {
  account: string;
  number: number;
  at: number;
}

/** Observes the configuration of some routers. */
export class ChangeRecorder {
  /** Milliseconds from acceptance until in force, for each change at each router. */
  readonly times: number[] = [];
  /** Descriptions of reverted changes. */
  readonly reverts: string[] = [];
  readonly #routers: readonly MeasuredRouter[];
  readonly #inForce = new Map<MeasuredRouter, Map<string, number>>();
  readonly #pending = new Map<MeasuredRouter, AcceptedChange[]>();
  readonly #unsubscribers: (() => void)[];

  constructor(routers: readonly MeasuredRouter[]) {
    this.#routers = routers;
    for (const router of routers) {
      this.#inForce.set(router, new Map());
      this.#pending.set(router, []);
    }
    this.#unsubscribers = routers.map((router) =>
      router.configuration.onChange(() => {
        this.#update(router);
      }),
    );
  }

  /** Adds a change; call it as soon as the platform has accepted the change. */
  accepted(change: AcceptedChange): void {
    for (const router of this.#routers) {
      this.#pending.get(router)?.push(change);
      this.#update(router);
    }
  }

  /** Number of changes that are not yet in force, summed over the routers. */
  get missing(): number {
    return [...this.#pending.values()].reduce((sum, changes) => sum + changes.length, 0);
  }

  stop(): void {
    for (const end of this.#unsubscribers) end();
  }

  #update(router: MeasuredRouter): void {
    const now = performance.now();
    this.#checkReverts(router);
    const known = this.#inForce.get(router);
    const pending = this.#pending.get(router) ?? [];
    const isInForce = ({ account, number }: AcceptedChange): boolean =>
      (known?.get(account) ?? -1) >= number;
    this.times.push(...pending.filter(isInForce).map(({ at }) => Math.max(0, now - at)));
    this.#pending.set(
      router,
      pending.filter((change) => !isInForce(change)),
    );
  }

  #checkReverts(router: MeasuredRouter): void {
    const known = this.#inForce.get(router);
    if (!known) return;
    const present = new Map(
      router.configuration.accounts().map(({ name, openingTokens }) => [name, openingTokens]),
    );
    for (const [account, number] of known) {
      const found = present.get(account);
      if (found !== undefined && found >= number) continue;
      const place = `${router.dataCentre}/${router.instance}`;
      this.reverts.push(`${place}: ${account} went from ${number} to ${found ?? 'nothing'}`);
    }
    this.#inForce.set(router, present);
  }
}
