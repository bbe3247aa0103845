/** Tells which instances of a group have been silent for so long that they are lost. */

import type { EpochMs } from '../../types/ids.js';
import type { PrepaidPage } from '../../types/prepaid.js';

/** The last sign of an instance that was seen, and when it was new. */
interface LastReport {
  id: string;
  since: EpochMs;
}

/**
 * Watch over the members of one group, by the reports that their page shows. It decides nothing about
 * tokens: an instance that is taken for lost but was only cut off finds its next report fenced.
 *
 * @example
 * const watch = new MemberWatch(600_000);
 * const lost = watch.silent(membersOf(budgets, group), page, now);
 */
export class MemberWatch {
  readonly #silentMs: number;
  #lastReports = new Map<string, LastReport>();

  /** @param silentMs milliseconds without a new report after which an instance is lost. */
  constructor(silentMs: number) {
    this.#silentMs = silentMs;
  }

  /** Instances that this watch has seen no new report of for long, whether members or on the page only. */
  silent(members: readonly string[], page: PrepaidPage, now: EpochMs): string[] {
    const names = [...new Set([...members, ...Object.keys(page.writers)])];
    const signs = names.map((name): [string, LastReport] => [name, this.#lastReport(name, page, now)]);
    this.#lastReports = new Map(signs);
    return signs.filter(([, { since }]) => now - since >= this.#silentMs).map(([name]) => name);
  }

  #lastReport(name: string, { writers }: PrepaidPage, now: EpochMs): LastReport {
    const writer = writers[name];
    const mark = writer ? `${writer.incarnation}#${String(writer.seq)}` : '';
    const before = this.#lastReports.get(name);
    return before?.id === mark ? before : { id: mark, since: now };
  }
}
