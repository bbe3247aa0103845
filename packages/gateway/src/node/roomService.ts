/** Shares of accounts in overloaded services, with what operators see of them. */

import type { Refusal } from '@flamingocourse/core';
import type { SharedServiceState } from '../runtime/accountRoomSharing.js';
import type { GatewayContext } from '../types/context.js';
import type { Outcome } from '../types/outcome.js';
import type { RequestProgress, RoutedCall } from '../types/requestRun.js';
import type { RoomRequest } from '../types/roomSharing.js';
import type { FleetConditionsService } from './fleetConditionsService.js';
import { Service } from '@flamingocourse/kernel';
import { AccountRoomSharing } from '../runtime/accountRoomSharing.js';
import { WorkEstimates } from '../runtime/workEstimates.js';
import { effectivePriority, importanceOf } from '../runtime/requestPriority.js';

/** Minimum milliseconds between two log lines about one service. */
const LOG_INTERVAL_MS = 10_000;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;

/** A request that was asked about. */
export interface RoomTicket {
  request: RoomRequest;
  askedAt: number;
  /** Set if its account has used up its part. */
  refusal: Refusal | undefined;
}

/** Service that asks for room on behalf of requests. Registered as `room`. */
export class RoomService extends Service {
  override readonly name = 'room';
  override readonly dependsOn = ['conditions'];
  readonly #context: GatewayContext;
  readonly #conditions: FleetConditionsService;
  readonly #sharing: AccountRoomSharing;
  readonly #estimates = new WorkEstimates();
  readonly #loggedAt = new Map<string, number>();

  constructor(context: GatewayContext, conditions: FleetConditionsService) {
    super();
    this.#context = context;
    this.#conditions = conditions;
    this.#sharing = new AccountRoomSharing({
      conditions,
      isOn: () => context.adaptiveLoad.isOn,
      random: context.random,
      onChange: (state, isLimited) => {
        this.#logChange(state, isLimited);
      },
      onRefused: ({ service, account = '' }) => {
        context.metrics.shareRefused(service, account);
      },
    });
    conditions.setDemandSource(this.#sharing);
  }

  override start(): void {
    // the exchange runs in `conditions`; levels are computed when requests arrive.
  }

  override stop(): void {
    // there is nothing to end.
  }

  /** Asks for room for a request that is about to wait for its first place. */
  ask({ account, route, service, endsAt }: RoutedCall): RoomTicket {
    const now = this.#context.clock.now();
    const request: RoomRequest = {
      service: service.name,
      account: account?.name,
      importance: importanceOf(effectivePriority(route, account)),
      workMs: this.#estimates.workMs(route.name, route.targetMs),
      leftMs: endsAt - now,
    };
    return { request, askedAt: now, refusal: this.#sharing.admit(request, now) };
  }

  /** Records how a request ended that went on. */
  recordEnd(
    { request, askedAt }: RoomTicket,
    { route }: RoutedCall,
    { placedAt, firstByteAt, made, serverWasFull }: Readonly<RequestProgress>,
    outcome: Outcome | undefined,
  ): void {
    if (!this.#context.adaptiveLoad.isOn) return;
    const now = this.#context.clock.now();
    if (outcome?.type === 'answered' && placedAt !== undefined) {
      const firstByteMs = (firstByteAt ?? now) - placedAt;
      // a busy instance reads an answer late; that is no wait at a server with a free slot.
      const atServerMs =
        serverWasFull === false ? 0 : this.#estimates.waitAtServerMs(route.name, firstByteMs);
      const waitedMs = placedAt - askedAt + atServerMs;
      this.#sharing.recordServed(request, waitedMs, route.targetMs, now);
      this.#estimates.record(route.name, { workMs: now - placedAt, firstByteMs });
    } else if (made === 0 && isForWantOfRoom(outcome)) {
      this.#sharing.recordUnplaced(request, now);
    }
  }

  /** Sets the gauges before metrics are read. */
  setGauges(): void {
    if (!this.#context.adaptiveLoad.isOn) return;
    const { metrics, clock } = this.#context;
    const now = clock.now();
    const levelHelp = 'slots that one account gets at most in a service; infinite without overload';
    const capacityHelp =
      'slots that the fleet gives to requests of an overloaded service; 0 without';
    const latenessHelp = 'waits of this instance as a part of targets, by service';
    for (const { service, level, capacity, lateness } of this.#sharing.states(now)) {
      metrics.gauge('account_level_slots', levelHelp, level, { service });
      metrics.gauge('service_capacity_slots', capacityHelp, capacity ?? 0, { service });
      metrics.gauge('service_lateness_ratio', latenessHelp, lateness, { service });
    }
    const ageHelp = 'seconds since the view of the fleet was made; infinite if it is the own view';
    const ageMs = this.#conditions.viewAgeMs(now);
    metrics.gauge('conditions_age_seconds', ageHelp, ageMs / MS_PER_SECOND);
  }

  #logChange(state: SharedServiceState, isLimited: boolean): void {
    const { clock, log } = this.#context;
    const now = clock.now();
    const { service, level, capacity = 0, lateness, limited } = state;
    const key = `${service} ${String(isLimited)}`;
    if (now - (this.#loggedAt.get(key) ?? -Infinity) < LOG_INTERVAL_MS) return;
    this.#loggedAt.set(key, now);
    if (!isLimited) {
      log.write('accounts-unlimited', { service });
      return;
    }
    log.write('accounts-limited', {
      service,
      level: rounded(level),
      capacity: rounded(capacity),
      lateness: rounded(lateness),
      accounts: limited.join(', '),
      viewAgeMs: Math.round(Math.min(this.#conditions.viewAgeMs(now), Number.MAX_SAFE_INTEGER)),
    });
  }
}

/** Whether a request was refused because too many waited. */
function isForWantOfRoom(outcome: Outcome | undefined): boolean {
  if (outcome?.type !== 'refused') return false;
  const { reason } = outcome.refusal ?? {};
  // a deadline that passes may as well be due to this instance.
  return reason === 'overloaded' || reason === 'deadline-unreachable';
}

function rounded(value: number): number {
  return Math.round(value * PERCENT) / PERCENT;
}
