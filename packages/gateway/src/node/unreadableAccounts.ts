/** Names accounts whose stored entries cannot be read in the log, once each. */

import type { AccountId } from '@flamingocourse/core';
import type { EventLog } from '@flamingocourse/kernel';
import { loggedText } from '@flamingocourse/kernel';

/** Maximum number of accounts named for one object. */
const MAX_NAMED = 100;

/**
 * Accounts of one stored object that cannot be read.
 *
 * @example
 * const unreadable = new UnreadableAccounts(log, 'prepaid-pages/0');
 * unreadable.note(page.unreadable);
 */
export class UnreadableAccounts {
  readonly #log: EventLog;
  readonly #object: string;
  readonly #named = new Set<AccountId>();

  constructor(log: EventLog, object: string) {
    this.#log = log;
    this.#object = object;
  }

  /** Names those that have not been named yet; one that was correct meanwhile is named again. */
  note(unreadable: Readonly<Record<AccountId, unknown>> | undefined): void {
    const accounts = new Set(Object.keys(unreadable ?? {}));
    for (const account of this.#named) if (!accounts.has(account)) this.#named.delete(account);
    for (const account of accounts) {
      if (this.#named.has(account) || this.#named.size >= MAX_NAMED) continue;
      this.#named.add(account);
      const fields = { account: loggedText(account), object: this.#object, count: accounts.size };
      this.#log.write('prepaid-entry-invalid', fields);
    }
  }
}
