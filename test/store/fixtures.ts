/** Shared by the platform tests: a running stand-in, its clients and small helpers. */

import type { TestContext } from 'node:test';
import type { Collection, HttpObjectStoreOptions } from '@flamingocourse/store';
import type {
  PlatformStandIn,
  PlatformStandInOptions,
} from '../../packages/lab/src/node/platformStandIn/index.js';
import { setTimeout as delay } from 'node:timers/promises';
import { HttpObjectStore } from '@flamingocourse/store';
import { z } from 'zod';
import { createPlatformStandIn } from '../../packages/lab/src/node/platformStandIn/index.js';

export interface Note {
  text: string;
}

export const notes: Collection<Note> = {
  name: 'orders',
  schema: z.object({ text: z.string() }),
};

/** Starts a stand-in that ends with the test. */
export async function startStandIn(
  t: TestContext,
  options: Partial<PlatformStandInOptions> = {},
): Promise<PlatformStandIn> {
  const standIn = await createPlatformStandIn({
    listenPorts: { 'dc-a': 0, 'dc-b': 0 },
    ...options,
  });
  t.after(() => standIn.close());
  return standIn;
}

/** Connects a client that ends with the test. */
export function connect(
  t: TestContext,
  url: string | undefined,
  options: Partial<HttpObjectStoreOptions> = {},
): HttpObjectStore {
  const store = new HttpObjectStore({ url: url ?? '', timeoutMs: 300, ...options });
  t.after(() => {
    store.close();
  });
  return store;
}

/** Waits until a condition holds; fails loudly after a bounded time. */
export async function until(what: string, holds: () => boolean, withinMs = 5_000): Promise<void> {
  const end = Date.now() + withinMs;
  while (!holds()) {
    if (Date.now() > end) throw new Error(`not within ${String(withinMs)} ms: ${what}`);
    await delay(5);
  }
}

/** For `unwrapOrElse`: a result that should be fine is not. */
export function failTest(err: unknown): never {
  throw new Error('unexpected failure', { cause: err });
}
