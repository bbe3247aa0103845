/** Measures processor time and memory of this and other processes. */

import { readFile } from 'node:fs/promises';
import { LabError } from '../../utils/labError.js';
import { median } from './costLine.js';

/** Clock ticks per second in `/proc/PID/stat`; constant for all programs on Linux. */
const TICKS_PER_SECOND = 100;
const MS_PER_TICK = 1_000 / TICKS_PER_SECOND;
const BYTES_PER_KIB = 1_024;
/** Indexes of user and system time in `/proc/PID/stat`, from the field after the command name. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Minimum processor time of a repetition, so that the clock's resolution does not matter. */
const MIN_REPETITION_MS = 15;
const REPETITIONS = 5;
const US_PER_MS = 1_000;

/** Resource usage of a process. */
export interface ProcessUsage {
  /** User and system time since the start, in milliseconds, with a resolution of 10 ms. */
  cpuMs: number;
  /** Resident memory in bytes. */
  residentBytes: number;
}

/** Reads the usage of a process from `/proc`; throws `no-usage` if it cannot be read. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
  try {
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
    const status = await readFile(`/proc/${pid}/status`, 'utf8');
    // the command name may contain spaces and parentheses; the last parenthesis ends it.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
    const resident = /^VmRSS:\s+(\d+) kB/m.exec(status)?.[1];
    return { cpuMs: ticks * MS_PER_TICK, residentBytes: Number(resident) * BYTES_PER_KIB };
  } catch (err) {
    const message = `cannot read the usage of process ${pid}; this requires /proc of Linux`;
    throw new LabError('no-usage', message, { cause: err });
  }
}

/** Processor time of all threads of this process since its start, in milliseconds. */
export function ownCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

/**
 * Returns the processor time of one call in milliseconds: the median of five repetitions, each with
 * enough calls for the resolution of the clock. Earlier repetitions, which also compile the code,
 * are not counted.
 *
 * @example
 * const ms = cpuMsPerCall(() => JSON.stringify(page));
 */
export function cpuMsPerCall(call: () => unknown): number {
  let calls = 1;
  while (cpuMsOf(call, calls) < MIN_REPETITION_MS) calls *= 2;
  return median(Array.from({ length: REPETITIONS }, () => cpuMsOf(call, calls) / calls));
}

function cpuMsOf(call: () => unknown, calls: number): number {
  const before = ownCpuMs();
  for (let i = 0; i < calls; i += 1) call();
  return ownCpuMs() - before;
}
