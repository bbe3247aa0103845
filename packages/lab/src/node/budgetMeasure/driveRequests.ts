/** Sends planned requests through the budget services of the routers, as the request path does. */

import type { BudgetWorld, MeasuredRouter } from './budgetWorld.js';
import type { BudgetRequest, RequestRecord } from '../../runtime/budgetMeasure/requestPlan.js';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Deadline of a request, in milliseconds. */
const DEADLINE_MS = 5_000;

/** What the router is told of each request beside its account and amount. */
const CLASS = { workClass: 'drafts', importance: 'first', budgetShare: 1 } as const;

/**
 * Sends every request at its time and resolves when all have ended. Callers of a killed router go
 * to the next one, as behind a balancer; a request in progress at the kill ends as `killed`.
 */
export async function driveRequests(
  world: BudgetWorld,
  plan: readonly BudgetRequest[],
): Promise<RequestRecord[]> {
  const start = performance.now();
  const running: Promise<RequestRecord>[] = [];
  for (const request of plan) {
    const wait = request.atMs - (performance.now() - start);
    if (wait > 0) await delay(wait);
    running.push(sendOne(world, request));
  }
  return Promise.all(running);
}

async function sendOne(world: BudgetWorld, request: BudgetRequest): Promise<RequestRecord> {
  const router = liveRouter(world, request.router);
  const arrivedAt = Date.now();
  const { account, worst: amount } = request;
  const begun = performance.now();
  const asked = { account, amount, ...CLASS, deadline: arrivedAt + DEADLINE_MS };
  const reserved = await router.money.reserve(asked);
  const record = { ...request, arrivedAt, reserveMs: performance.now() - begun };
  if (reserved.isErr) return { ...record, outcome: endOf(router, reserved.error.reason) };
  await delay(request.durationMs);
  // a process that was killed sends nothing more.
  if (router.killedAt !== undefined) return { ...record, outcome: 'killed' };
  const ticket = router.money.nextTicket();
  const billBegun = performance.now();
  const use = {
    service: 'llm',
    cost: request.cost,
    promptTokens: request.cost,
    completionTokens: 0,
  };
  const billed = await router.money.bill(reserved.value, ticket, use);
  const billMs = performance.now() - billBegun;
  if (billed.isErr) return { ...record, outcome: endOf(router, billed.error.reason), billMs };
  const billId = `${ticket.issuer}#${ticket.number}`;
  return { ...record, outcome: endOf(router, 'served'), billMs, billId };
}

function liveRouter({ routers }: BudgetWorld, index: number): MeasuredRouter {
  for (let step = 0; step < routers.length; step += 1) {
    const router = routers[(index + step) % routers.length];
    if (router && router.killedAt === undefined) return router;
  }
  throw new Error('every router of the run was killed.');
}

function endOf(router: MeasuredRouter, outcome: string): string {
  return router.killedAt === undefined ? outcome : 'killed';
}
