/** Fixtures of the store tests: a stand-in of the platform, its clients and helpers. */

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

/** Starts a stand-in of the platform; it is closed when the test ends. */
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

/** Creates a client; it is closed when the test ends. */
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

/** Waits until a condition holds; throws after a timeout. */
export async function until(what: string, holds: () => boolean, withinMs = 5_000): Promise<void> {
  const end = Date.now() + withinMs;
  while (!holds()) {
    if (Date.now() > end) throw new Error(`not within ${String(withinMs)} ms: ${what}`);
    await delay(5);
  }
}

/** For `unwrapOrElse`: fails the test if a result is an error. */
export function failTest(err: unknown): never {
  throw new Error('unexpected failure', { cause: err });
}
