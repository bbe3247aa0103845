/** Tracks whether the store answers one service. */

import type { GatewayContext } from '../types/context.js';
import { Contact } from './contact.js';

/**
 * Whether the store answers.
 *
 * @example
 * const contact = new StoreContact(context, 'directory');
 * store.watch(servers, { onEvent, onHeard: () => contact.heard(), onBreak: (reason) => contact.lose(reason) });
 */
export class StoreContact extends Contact {
  /** @param user the service that uses the store, for the log. */
  constructor(context: GatewayContext, user: string) {
    super(context, { lost: 'store-lost', regained: 'store-regained' }, { watch: user });
  }
}
