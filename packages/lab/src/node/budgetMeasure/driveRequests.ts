/** Runs planned requests through the budget services, with the same calls as the request path. */

import type { BudgetSimulation, SimulatedRouter } from './budgetSimulation.js';
import type { BudgetRequest, RequestRecord } from '../../runtime/budgetMeasure/requestPlan.js';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Deadline of a request, in milliseconds. */
const DEADLINE_MS = 5_000;

/** Values of a reservation that are the same for all requests. */
const CLASS = { workClass: 'drafts', importance: 'first', budgetShare: 1 } as const;

/**
 * Starts each request at its time and resolves when all have ended. As behind a load balancer, new
 * requests for a killed router go to the next one; requests in flight at the kill end as `killed`.
 */
export async function driveRequests(
  simulation: BudgetSimulation,
  plan: readonly BudgetRequest[],
): Promise<RequestRecord[]> {
  const start = performance.now();
  const running: Promise<RequestRecord>[] = [];
  for (const request of plan) {
    const wait = request.atMs - (performance.now() - start);
    if (wait > 0) await delay(wait);
    running.push(runRequest(simulation, request));
  }
  return Promise.all(running);
}

async function runRequest(
  simulation: BudgetSimulation,
  request: BudgetRequest,
): Promise<RequestRecord> {
  const router = liveRouter(simulation, request.router);
  const arrivedAt = Date.now();
  const { account, worst: amount } = request;
  const reserveStartedAt = performance.now();
  const reservation = { account, amount, ...CLASS, deadline: arrivedAt + DEADLINE_MS };
  const reserved = await router.money.reserve(reservation);
  const record = { ...request, arrivedAt, reserveMs: performance.now() - reserveStartedAt };
  if (reserved.isErr) return { ...record, outcome: outcomeOf(router, reserved.error.reason) };
  await delay(request.durationMs);
  // a killed process cannot bill the request.
  if (router.killedAt !== undefined) return { ...record, outcome: 'killed' };
  const ticket = router.money.nextTicket();
  const billStartedAt = performance.now();
  const use = {
    service: 'llm',
    cost: request.cost,
    promptTokens: request.cost,
    completionTokens: 0,
  };
  const billed = await router.money.bill(reserved.value, ticket, use);
  const billMs = performance.now() - billStartedAt;
  if (billed.isErr) return { ...record, outcome: outcomeOf(router, billed.error.reason), billMs };
  const billId = `${ticket.issuer}#${ticket.number}`;
  return { ...record, outcome: outcomeOf(router, 'served'), billMs, billId };
}

function liveRouter({ routers }: BudgetSimulation, index: number): SimulatedRouter {
  for (let step = 0; step < routers.length; step += 1) {
    const router = routers[(index + step) % routers.length];
    if (router && router.killedAt === undefined) return router;
  }
  throw new Error('all routers were killed');
}

function outcomeOf(router: SimulatedRouter, outcome: string): string {
  return router.killedAt === undefined ? outcome : 'killed';
}
