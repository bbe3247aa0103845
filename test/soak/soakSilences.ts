/** Pauses the processes of servers after configuration changes, and sometimes an instance with them. */

import type { Random } from '../../packages/lab/src/runtime/random.js';
import type { SoakProcess } from './soakProcess.js';
import type { SoakServer } from './soakServer.js';
import type { SoakSilenceChanges } from './soakSilenceChanges.js';
import { setTimeout as delay } from 'node:timers/promises';
import { ProcessorShare } from './processorShare.js';

/** Milliseconds from a configuration change to the silence. */
const CHANGE_LEAD_MS = 600;
/** Duration of a silence in milliseconds. */
const SILENCE_MS = { min: 1_000, max: 1_300 };
/** Milliseconds from a silence to the next change. */
const PAUSE_MS = { min: 300, max: 1_200 };
/** Fraction of the engines that a partial silence affects. */
const PARTIAL_FRACTION = 0.6;
/** Milliseconds for which an instance is paused in a silence. */
const INSTANCE_PAUSE_MS = 1_100;
/** Maximum milliseconds from the beginning of the silence to that pause. */
const MAX_PAUSE_LEAD_MS = 200;
const SHARES = [0.12, 0.2, 0.3];

/** Servers that are silent together. */
type Extent = 'all engines' | 'most engines' | 'all servers' | 'plain servers';

const EXTENTS: readonly { extent: Extent; weight: number }[] = [
  { extent: 'all engines', weight: 3 },
  { extent: 'most engines', weight: 3 },
  { extent: 'all servers', weight: 1 },
  { extent: 'plain servers', weight: 1 },
];

/** What happens to an instance during a silence. */
type InstanceFault = 'none' | 'pause' | 'scarce processor';

const INSTANCE_FAULTS: readonly { fault: InstanceFault; weight: number }[] = [
  { fault: 'none', weight: 4 },
  { fault: 'pause', weight: 3 },
  { fault: 'scarce processor', weight: 3 },
];

export interface SilenceTargets {
  engines: readonly SoakServer[];
  plain: readonly SoakServer[];
  instances: readonly SoakProcess[];
  changes: SoakSilenceChanges;
}

export class SoakSilences {
  /** One phrase for each silence. */
  readonly injected: string[] = [];

  constructor(
    readonly targets: SilenceTargets,
    readonly random: Random,
  ) {}

  /** Silences servers again and again until the time is over. */
  async play(forMs: number): Promise<void> {
    const endAt = performance.now() + forMs;
    while (performance.now() < endAt) await this.#silence();
  }

  async #silence(): Promise<void> {
    const { random, targets } = this;
    const { extent } = random.pickWeighted(EXTENTS);
    const { fault } = random.pickWeighted(INSTANCE_FAULTS);
    const servers = this.#serversOf(extent);
    const forMs = random.int(SILENCE_MS.min, SILENCE_MS.max);
    const instance = random.pick(targets.instances);
    const share = random.pick(SHARES);
    const leadMs = random.int(0, MAX_PAUSE_LEAD_MS);
    const change = targets.changes.next();
    const at = new Date().toISOString().slice(14, 23);
    const names = servers.map(({ name }) => name).join(' ');
    const ofInstance = fault === 'none' ? '' : `, ${fault} of ${instance.name}`;
    this.injected.push(
      `${at} ${change}, then ${names} silent for ${String(forMs)} ms${ofInstance}`,
    );
    await delay(CHANGE_LEAD_MS);
    for (const server of servers) server.signal('SIGSTOP');
    const disturbed = disturb(instance, fault, share, leadMs);
    await delay(forMs);
    for (const server of servers) server.signal('SIGCONT');
    await disturbed;
    await delay(random.int(PAUSE_MS.min, PAUSE_MS.max));
  }

  #serversOf(extent: Extent): readonly SoakServer[] {
    const { engines, plain } = this.targets;
    switch (extent) {
      case 'all engines':
        return engines;
      case 'most engines':
        return this.#take(engines);
      case 'all servers':
        return [...engines, ...plain];
      case 'plain servers':
        return plain;
    }
  }

  #take(engines: readonly SoakServer[]): SoakServer[] {
    const chosen = [...engines];
    while (chosen.length > Math.round(PARTIAL_FRACTION * engines.length)) {
      chosen.splice(this.random.int(0, chosen.length - 1), 1);
    }
    return chosen;
  }
}

async function disturb(
  instance: SoakProcess,
  fault: InstanceFault,
  share: number,
  leadMs: number,
): Promise<void> {
  if (fault === 'none') return;
  await delay(leadMs);
  if (fault === 'pause') {
    instance.signal('SIGSTOP');
    await delay(INSTANCE_PAUSE_MS);
    instance.signal('SIGCONT');
    return;
  }
  const limit = new ProcessorShare(instance, share);
  await delay(INSTANCE_PAUSE_MS);
  await limit.stop();
}
