/** Records when accepted changes come into force at each router, and whether one ever reverts. */

import type { MeasuredRouter } from './measuredFleet.js';

/** An accepted change: the account's opening budget carries its number. */
export interface AcceptedChange {
  account: string;
  number: number;
  at: number;
}

/** Watches the configuration of some routers. */
export class ChangeRecorder {
  /** Milliseconds from acceptance to force, of each change at each router. */
  readonly times: number[] = [];
  /** Sentences; empty when nothing went back. */
  readonly reverts: string[] = [];
  readonly #routers: readonly MeasuredRouter[];
  readonly #inForce = new Map<MeasuredRouter, Map<string, number>>();
  readonly #pending = new Map<MeasuredRouter, AcceptedChange[]>();
  readonly #ends: (() => void)[];

  constructor(routers: readonly MeasuredRouter[]) {
    this.#routers = routers;
    for (const router of routers) {
      this.#inForce.set(router, new Map());
      this.#pending.set(router, []);
    }
    this.#ends = routers.map((router) =>
      router.configuration.onChange(() => {
        this.#look(router);
      }),
    );
  }

  /** Adds a change as soon as the platform has accepted it. */
  accepted(change: AcceptedChange): void {
    for (const router of this.#routers) {
      this.#pending.get(router)?.push(change);
      this.#look(router);
    }
  }

  /** Changes that are not in force at some router. */
  get missing(): number {
    return [...this.#pending.values()].reduce((sum, changes) => sum + changes.length, 0);
  }

  stop(): void {
    for (const end of this.#ends) end();
  }

  #look(router: MeasuredRouter): void {
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
