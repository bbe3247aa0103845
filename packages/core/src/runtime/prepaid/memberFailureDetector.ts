/** Detects instances of a group that have not reported for so long that they count as failed. */

import type { EpochMs } from '../../types/ids.js';
import type { PrepaidPage } from '../../types/prepaid.js';
import { entryOf } from '../../utils/table.js';

/** The last report of an instance that was seen on the page. */
interface LastReport {
  /** Incarnation and sequence number; empty if the page shows no report. */
  id: string;
  /** Time at which this report was first seen. */
  since: EpochMs;
}

/**
 * Failure detector for the members of one group, based on the reports that their page shows. It
 * does not change any tokens. A wrong result is safe: an instance that was only disconnected has
 * its next report fenced.
 *
 * @example
 * const detector = new MemberFailureDetector(600_000);
 * const lost = detector.silent(membersOf(budgets, group), page, now);
 */
export class MemberFailureDetector {
  readonly #silentMs: number;
  #lastReports = new Map<string, LastReport>();

  /** @param silentMs milliseconds without a new report after which an instance counts as failed. */
  constructor(silentMs: number) {
    this.#silentMs = silentMs;
  }

  /**
   * Returns the instances without a new report for `silentMs`, counted from the first call that saw
   * the last one. Includes members without any report, and instances that only the page lists.
   */
  silent(members: readonly string[], page: PrepaidPage, now: EpochMs): string[] {
    const names = [...new Set([...members, ...Object.keys(page.writers)])];
    const reports = names.map((name): [string, LastReport] => [
      name,
      this.#lastReport(name, page, now),
    ]);
    this.#lastReports = new Map(reports);
    return reports.filter(([, { since }]) => now - since >= this.#silentMs).map(([name]) => name);
  }

  #lastReport(name: string, { writers }: PrepaidPage, now: EpochMs): LastReport {
    const writer = entryOf(writers, name);
    const id = writer ? `${writer.incarnation}#${String(writer.seq)}` : '';
    const before = this.#lastReports.get(name);
    return before?.id === id ? before : { id, since: now };
  }
}
