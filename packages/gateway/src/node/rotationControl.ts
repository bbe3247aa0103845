/** Takes this instance out of the load balancer's rotation while others serve its callers better. */

import type { PressureLevel } from '@flamingocourse/core';
import type { FleetConditions } from '../types/fleetConditions.js';
import type { GatewayContext } from '../types/context.js';
import type { InstancePressure } from '../runtime/instancePressure.js';
import type { RotationDecision, RotationReason } from '../runtime/readinessPolicy.js';
import { pressureLevels } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';
import { ReadinessPolicy } from '../runtime/readinessPolicy.js';

/** Milliseconds between two decisions; an overload has to show within half a second. */
const DECIDE_MS = 400;
const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;
const reasons: readonly RotationReason[] = ['relief', 'diversion'];

/** What {@link RotationControl} needs. */
export interface RotationParts {
  pressure: InstancePressure;
  /** What is known of the other instances; without it this instance stays in rotation. */
  conditions: Pick<FleetConditions, 'view'> | undefined;
}

/**
 * Service that judges the pressure of this instance and decides whether it leaves rotation, while the
 * deployment calls for it. Registered as `rotation`.
 *
 * @example
 * kernel.register(new RotationControl(context, { pressure, conditions }));
 * kernel.get('rotation', RotationControl).isOut; // false
 */
export class RotationControl extends Service {
  override readonly name = 'rotation';
  readonly #context: GatewayContext;
  readonly #parts: RotationParts;
  readonly #policy = new ReadinessPolicy();
  #timer: NodeJS.Timeout | undefined;
  #level: PressureLevel = 'calm';
  #decision: RotationDecision | undefined;
  #outSince: number | undefined;

  constructor(context: GatewayContext, parts: RotationParts) {
    super();
    this.#context = context;
    this.#parts = parts;
  }

  /** Whether the load balancer is to send new connections to other instances. */
  get isOut(): boolean {
    return this.#decision?.reason !== undefined;
  }

  /** Whether callers' connections are closed after the response, so that callers spread anew. */
  get closesConnections(): boolean {
    return this.#decision?.closesConnections ?? false;
  }

  override start(): void {
    const { background, clock } = this.#context;
    this.#timer = background.every(DECIDE_MS, this.name, () => {
      this.#decide(clock.now());
    });
  }

  override stop(): void {
    clearInterval(this.#timer);
  }

  #decide(now: number): void {
    const { adaptiveLoad, settings } = this.#context;
    if (!adaptiveLoad.isOn) {
      this.#decision = undefined;
      return;
    }
    const pressure = this.#observePressure(now);
    const { instance, dataCentre } = settings;
    const view = this.#parts.conditions?.view(now);
    const before = this.#decision?.reason;
    const decision = this.#policy.decide({ instance, dataCentre, pressure, view }, now);
    this.#decision = decision;
    if (decision.reason !== before) this.#recordChange(decision, now);
    this.#setGauges(decision);
  }

  #observePressure(now: number): PressureLevel {
    const { pressure } = this.#parts;
    const { user, system } = process.cpuUsage();
    pressure.observeProcessor((user + system) / MICROS_PER_MS, now);
    const level = pressure.pressure(now);
    if (level === this.#level) return level;
    const { requests, waited, late, closed, processorShare } = pressure.signs(now);
    this.#context.log.write('pressure-changed', {
      pressure: level,
      before: this.#level,
      requests,
      waited,
      late,
      closed,
      processorShare: processorShare === undefined ? undefined : Number(processorShare.toFixed(3)),
    });
    this.#level = level;
    return level;
  }

  #recordChange({ reason, census, calmElsewhere }: RotationDecision, now: number): void {
    const outMs = this.#outSince === undefined ? undefined : Math.round(now - this.#outSince);
    this.#outSince = reason === undefined ? undefined : now;
    this.#context.log.write('rotation-changed', {
      out: reason !== undefined,
      why: reason,
      outMs,
      pressure: this.#level,
      instances: census?.total,
      reporting: census?.reporting,
      othersOut: census?.out,
      othersCalm: census?.calm,
      crowded: census?.crowded,
      calmElsewhere,
    });
    if (outMs !== undefined) this.#context.metrics.outOfRotation(outMs / MS_PER_SECOND);
  }

  #setGauges({ reason }: RotationDecision): void {
    const { metrics } = this.#context;
    const help = '0 calm, 1 pressed, 2 overloaded';
    metrics.gauge('instance_pressure', help, pressureLevels.indexOf(this.#level));
    for (const why of reasons) {
      const outHelp = '1 while this instance is out of rotation, by why';
      metrics.gauge('out_of_rotation', outHelp, Number(reason === why), { why });
    }
  }
}
