/** Scenarios that write changes under faults. */

import type { Collection, ObjectStore } from '@flamingocourse/store';
import type { FleetSize } from './measuredFleet.js';
import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import { LabError } from '../../utils/labError.js';
import { ChangeRecorder } from './changeRecorder.js';
import { MeasuredFleet } from './measuredFleet.js';

/** Time between two changes. */
const CHANGE_GAP_MS = 100;
const ACCOUNTS = 10;
/** Time limit for the last changes to be in force. */
const IN_FORCE_TIMEOUT_MS = 10_000;
const POLL_MS = 20;
/** Maximum number of attempts of an operator whose writes conflict. */
const MAX_WRITE_ATTEMPTS = 20;

/** The platform stores declarations as written; only the routers parse them. */
const declarations: Collection<unknown> = { name: 'declarations', schema: z.unknown() };

const accountSchema = z.object({ openingTokens: z.number() });

/** A scenario, with a fault that starts in the middle of the run. */
export interface ConfigScenario {
  name: string;
  /** Number of operators that write to the same account concurrently. @default 1 */
  operators?: number;
  /** Injects the fault; the earlier changes must be in force at all routers. */
  injectFault?: (fleet: MeasuredFleet) => Promise<void> | void;
}

/** Result of one scenario. */
export interface ConfigScenarioResult {
  name: string;
  changes: number;
  routers: number;
  /** Milliseconds from acceptance until in force, for all changes and routers. */
  times: number[];
  conflicts: number;
  missing: number;
  reverts: string[];
}

/** The scenarios that are measured. */
export const configScenarios: readonly ConfigScenario[] = [
  { name: 'no fault' },
  { name: 'relay killed', injectFault: (fleet) => fleet.kill(fleet.relay('dc-0')) },
  { name: 'data centre cut from the platform', injectFault: cutFromPlatform },
  { name: 'two operators racing', operators: 2 },
];

/**
 * Runs one scenario.
 *
 * @example
 * const result = await runConfigScenario(scenario, size, 100);
 */
export async function runConfigScenario(
  scenario: ConfigScenario,
  size: FleetSize,
  changes: number,
): Promise<ConfigScenarioResult> {
  const fleet = await MeasuredFleet.start(size);
  try {
    return await writeChanges(fleet, scenario, changes);
  } finally {
    await fleet.stop();
  }
}

async function writeChanges(
  fleet: MeasuredFleet,
  { name, injectFault, operators = 1 }: ConfigScenario,
  changes: number,
): Promise<ConfigScenarioResult> {
  let recorder = new ChangeRecorder(fleet.routers);
  const recorders = [recorder];
  let conflicts = 0;
  for (let n = 0; n < changes; n += operators) {
    if (n === changes / 2 && injectFault) {
      await waitUntilInForce(recorder);
      recorder.stop();
      await injectFault(fleet);
      // the new recorder observes only the routers that were not killed.
      recorder = new ChangeRecorder(fleet.routers);
      recorders.push(recorder);
    }
    const account = `account-${n % ACCOUNTS}`;
    const writes = Array.from({ length: operators }, (_, i) =>
      writeChange(fleet.platform.view(), account, n + i, recorder),
    );
    for (const conflictCount of await Promise.all(writes)) conflicts += conflictCount;
    await delay(CHANGE_GAP_MS);
  }
  await waitUntilInForce(recorder);
  recorder.stop();
  return {
    name,
    changes,
    routers: fleet.routers.length,
    times: recorders.flatMap(({ times }) => times),
    conflicts,
    missing: recorders.reduce((sum, { missing }) => sum + missing, 0),
    reverts: recorders.flatMap(({ reverts }) => reverts),
  };
}

async function waitUntilInForce(recorder: ChangeRecorder): Promise<void> {
  const end = performance.now() + IN_FORCE_TIMEOUT_MS;
  while (recorder.missing > 0 && performance.now() < end) await delay(POLL_MS);
}

/**
 * Writes a change as the operators' command does: reads the object, then updates it conditionally;
 * retries after a conflict. Returns the number of conflicts.
 */
async function writeChange(
  store: ObjectStore,
  account: string,
  number: number,
  recorder: ChangeRecorder,
): Promise<number> {
  const name = `ClientAccount.${account}`;
  for (let conflicts = 0; conflicts < MAX_WRITE_ATTEMPTS; conflicts += 1) {
    const known = await store.get(declarations, name);
    const openingTokens = Math.max(number, known.isOk ? openingTokensOf(known.value.value) : 0);
    const value = describeAccount(account, openingTokens);
    const written = known.isOk
      ? await store.update(declarations, name, known.value.version, value)
      : await store.create(declarations, name, value);
    if (written.isErr) continue;
    recorder.accepted({ account, number, at: performance.now() });
    return conflicts;
  }
  throw new LabError(
    'measure-failed',
    `the change of ${account} was not written within the maximum number of attempts`,
  );
}

function describeAccount(name: string, openingTokens: number): unknown {
  const digest = createHash('sha256').update(name).digest('hex');
  return { kind: 'ClientAccount', name, apiKeyDigests: [digest], openingTokens };
}

function openingTokensOf(value: unknown): number {
  return accountSchema.parse(value).openingTokens;
}

function cutFromPlatform(fleet: MeasuredFleet): void {
  for (const router of fleet.routers) {
    if (router.dataCentre === 'dc-0') router.store.faults.outage = true;
  }
}
