/** Takes backend servers out of service and back in. */

import type { EpochMs, ServerId, ServiceName } from '@flamingocourse/core';
import type { CliError } from '../utils/cliError.js';
import type { Operator } from '../types/operator.js';
import { Result } from 'true-myth';
import { createAudit } from './audit.js';
import { fromStoreError } from '../utils/cliError.js';

/**
 * Value of the platform object `orders/drain.{service}.{server}`: routers send no new requests to
 * the server.
 */
export interface DrainOrder {
  type: 'drain';
  service: ServiceName;
  server: ServerId;
  who: string;
  at: EpochMs;
}

/** Outcome of `drain` or `undrain`; `unchanged` if the server was already in that state. */
export type DrainOutcome = 'drained' | 'undrained' | 'unchanged';

/** Name of the drain order of a server. */
export function drainName(service: ServiceName, server: ServerId): string {
  return `drain.${service}.${server}`;
}

/** Creates a drain order: the server gets no new requests, and running requests finish. */
export async function drainServer(
  operator: Operator,
  service: ServiceName,
  server: ServerId,
): Promise<Result<DrainOutcome, CliError>> {
  const { store, who } = operator;
  const order: DrainOrder = { type: 'drain', service, server, who, at: operator.now() };
  const created = await store.create('orders', drainName(service, server), order);
  if (created.isErr && created.error.code === 'exists') return Result.ok('unchanged');
  if (created.isErr) {
    const context = 'the server may not be drained yet; run the command again';
    return Result.err(fromStoreError(created.error, context));
  }
  await auditDrain(operator, 'drain', drainName(service, server));
  return Result.ok('drained');
}

/** Removes a drain order. */
export async function undrainServer(
  operator: Operator,
  service: ServiceName,
  server: ServerId,
): Promise<Result<DrainOutcome, CliError>> {
  const name = drainName(service, server);
  const read = await operator.store.get('orders', name);
  if (read.isErr && read.error.code === 'not-found') return Result.ok('unchanged');
  if (read.isErr) return Result.err(fromStoreError(read.error, 'the order cannot be read'));
  const removed = await operator.store.remove('orders', name, read.value.version);
  if (removed.isErr && removed.error.code !== 'not-found') {
    const context = 'the order may still be in force; run the command again';
    return Result.err(fromStoreError(removed.error, context));
  }
  await auditDrain(operator, 'undrain', name);
  return Result.ok('undrained');
}

async function auditDrain(
  operator: Operator,
  what: 'drain' | 'undrain',
  object: string,
): Promise<void> {
  const changeId = operator.newId();
  const entry = {
    changeId,
    who: operator.who,
    what,
    object: `Order.${object}`,
    at: operator.now(),
  };
  await createAudit(operator.store, changeId, entry);
}
