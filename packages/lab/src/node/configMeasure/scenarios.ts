/** Runs of changes under faults. */

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
/** How long the last changes are waited for. */
const LAST_WAIT_MS = 10_000;
const POLL_MS = 20;
/** Tries of one operator who loses against the other. */
const MAX_WRITE_TRIES = 20;

/** The platform keeps declarations as they are written; only the routers read them into bodies. */
const declarations: Collection<unknown> = { name: 'declarations', schema: z.unknown() };

const accountSchema = z.object({ openingTokens: z.number() });

/** A fault that begins at the middle of the run. */
export interface ConfigScenario {
  name: string;
  /** Operators who write each change's account at the same time. @default 1 */
  operators?: number;
  /** Brings the fault about; the changes before it must be in force everywhere. */
  disturb?: (fleet: MeasuredFleet) => Promise<void> | void;
}

/** What came of one scenario. */
export interface ConfigScenarioResult {
  name: string;
  changes: number;
  routers: number;
  /** Milliseconds to force over all changes and routers. */
  times: number[];
  conflicts: number;
  missing: number;
  reverts: string[];
}

/** The scenarios that are measured. */
export const configScenarios: readonly ConfigScenario[] = [
  { name: 'no fault' },
  { name: 'relay killed', disturb: (fleet) => fleet.kill(fleet.relay('dc-0')) },
  { name: 'data centre cut from the platform', disturb: cutFromPlatform },
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
  { name, disturb, operators = 1 }: ConfigScenario,
  changes: number,
): Promise<ConfigScenarioResult> {
  let recorder = new ChangeRecorder(fleet.routers);
  const recorders = [recorder];
  let conflicts = 0;
  for (let n = 0; n < changes; n += operators) {
    if (n === changes / 2 && disturb) {
      await waitForForce(recorder);
      recorder.stop();
      await disturb(fleet);
      // routers that were killed are asked no more.
      recorder = new ChangeRecorder(fleet.routers);
      recorders.push(recorder);
    }
    const account = `account-${n % ACCOUNTS}`;
    const writes = Array.from({ length: operators }, (_, i) =>
      writeChange(fleet.platform.view(), account, n + i, recorder),
    );
    for (const lost of await Promise.all(writes)) conflicts += lost;
    await delay(CHANGE_GAP_MS);
  }
  await waitForForce(recorder);
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

async function waitForForce(recorder: ChangeRecorder): Promise<void> {
  const end = performance.now() + LAST_WAIT_MS;
  while (recorder.missing > 0 && performance.now() < end) await delay(POLL_MS);
}

/**
 * Writes a change as the operators' command does: read, then a conditional update, and again after a
 * conflict. Returns the number of conflicts.
 */
async function writeChange(
  store: ObjectStore,
  account: string,
  number: number,
  recorder: ChangeRecorder,
): Promise<number> {
  const name = `ClientAccount.${account}`;
  for (let conflicts = 0; conflicts < MAX_WRITE_TRIES; conflicts += 1) {
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
  throw new LabError('measure-failed', `the change of ${account} lost every race`);
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
