/** Processor time and memory of this process and of others. */

import { readFile } from 'node:fs/promises';
import { LabError } from '../../utils/labError.js';
import { median } from './costLine.js';

/** Clock ticks a second in `/proc/PID/stat`; fixed on Linux for all programs. */
const TICKS_PER_SECOND = 100;
const MS_PER_TICK = 1_000 / TICKS_PER_SECOND;
const BYTES_PER_KIB = 1_024;
/** User and system time in `/proc/PID/stat`, counted from the field after the command's name. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Processor time that one repetition must take, so that the clock's grain does not show. */
const MIN_REPETITION_MS = 15;
const REPETITIONS = 5;
const US_PER_MS = 1_000;

/** What a process has used. */
export interface ProcessUsage {
  /** User and system time since its start, in milliseconds, to 10 ms. */
  cpuMs: number;
  /** Resident memory in bytes. */
  residentBytes: number;
}

/** Reads the usage of a process from `/proc`; throws `no-usage` when there is none. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
  try {
    const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
    const status = await readFile(`/proc/${pid}/status`, 'utf8');
    // the command's name may hold spaces and brackets; the last bracket ends it.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
    const resident = /^VmRSS:\s+(\d+) kB/m.exec(status)?.[1];
    return { cpuMs: ticks * MS_PER_TICK, residentBytes: Number(resident) * BYTES_PER_KIB };
  } catch (err) {
    const message = `the usage of process ${pid} cannot be read; this needs Linux's /proc`;
    throw new LabError('no-usage', message, { cause: err });
  }
}

/** Processor time of this process so far, in milliseconds, with all its threads. */
export function ownCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

/**
 * Processor time of one call in milliseconds: the median of five repetitions, each of as many calls
 * as the clock needs. A first repetition, which compiles the code, is not counted.
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
