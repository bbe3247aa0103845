/** Queries the status of every router in the instance list. */

import type { InstanceRecord } from '@flamingocourse/core';
import type { CliError } from '../utils/cliError.js';
import type { Operator } from '../types/operator.js';
import { Result } from 'true-myth';
import { fromStoreError } from '../utils/cliError.js';

/** Name of the routers in the instance list. */
const routerService = 'flamingocourse-router';

/** Sends a GET request to a router; resolves to `undefined` without a response. */
export type FetchJson = (url: string) => Promise<{ status: number; body: unknown } | undefined>;

/** Status of one router. */
export interface RouterStatus {
  instance: string;
  dataCentre: string;
  listed: InstanceRecord['state'];
  ready: 'ready' | 'not ready' | 'no answer';
  /** Highest configuration revision in force, as the router reports it. */
  revision?: number;
  /** Body of `GET /status`. */
  details?: Record<string, unknown>;
}

/** Reads the status of all routers concurrently. */
export async function readStatus(
  operator: Operator,
  fetchJson: FetchJson,
): Promise<Result<RouterStatus[], CliError>> {
  const listed = await operator.store.listInstances(routerService);
  if (listed.isErr) {
    return Result.err(fromStoreError(listed.error, 'the instance list cannot be read'));
  }
  const statuses = await Promise.all(
    listed.value.map((instance) => queryRouter(instance, fetchJson)),
  );
  return Result.ok(statuses);
}

async function queryRouter(instance: InstanceRecord, fetchJson: FetchJson): Promise<RouterStatus> {
  const base = {
    instance: instance.id,
    dataCentre: instance.dataCentre,
    listed: instance.state,
  };
  const ready = await fetchJson(new URL('/readyz', instance.url).href);
  if (!ready) return { ...base, ready: 'no answer' };
  const status = await fetchJson(new URL('/status', instance.url).href);
  const details = asObject(status?.body);
  const revision = details?.revision;
  return {
    ...base,
    ready: ready.status === 200 ? 'ready' : 'not ready',
    ...(typeof revision === 'number' && { revision }),
    ...(details && { details }),
  };
}

function asObject(value: unknown): Record<string, unknown> | undefined {
  return typeof value === 'object' && value !== null ? { ...value } : undefined;
}
