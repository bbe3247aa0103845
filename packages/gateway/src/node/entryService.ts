/** The callers' listener: decodes, routes and starts each request, and tells when to stop sending. */

import type { Refusal, Route, RouteTable, RoutedAccount } from '@flamingocourse/core';
import type { Kernel } from '@flamingocourse/kernel';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CallHead } from '../types/call.js';
import type { ServerAgent } from './serverAgent.js';
import type { Arrival } from './arrivalWatch.js';
import type { GatewayContext } from '../types/context.js';
import type { Outcome } from '../types/outcome.js';
import type { FlowParts, RoutedCall } from '../types/requestRun.js';
import { createServer } from 'node:http';
import { pickTarget } from '@flamingocourse/core';
import { Service, describeError, onTimeOver, pendingReads } from '@flamingocourse/kernel';
import { ArrivalWatch } from './arrivalWatch.js';
import { BackendLanes } from './backendLanes.js';
import { CallerAnswer } from './callerAnswer.js';
import { closeWithCaller } from './closeWithCaller.js';
import { ConfigurationWatch } from './configurationWatch.js';
import { fits, notReady, tooLarge, tooLong, unknownKey, unknownRoute } from './entryRefusals.js';
import { PrepaidService } from './prepaidService.js';
import { readRequestBody } from './readRequestBody.js';
import { RequestFlow } from './requestFlow.js';
import { doneAfterMs, requestFields } from './requestLine.js';
import { ServerDirectory } from './serverDirectory.js';

/** Largest head of a request, in bytes; above what any configuration allows callers. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Milliseconds that a caller's connection outlives the idle limit which the caller was told. */
const IDLE_MARGIN_MS = 1_000;
/** Wait of a caller that names none, in milliseconds. */
const DEFAULT_WAIT_MS = 30_000;
/**
 * Milliseconds from the order to stop until no connection is taken any more and idle ones are closed.
 * The balancer asks each second and needs two misses, so new ones come for up to two seconds.
 */
const STILL_SENT_MS = 2_600;
/** Milliseconds between looks at whether the last request has ended. */
const STOP_CHECK_MS = 50;
/** Milliseconds before the end of the grace time at which the remaining requests are cut. */
const STOP_MARGIN_MS = 400;

/** Registered as `entry`. */
export class EntryService extends Service {
  override readonly name = 'entry';
  override readonly dependsOn = ['configuration', 'directory', 'lanes', 'prepaid'];
  readonly #context: GatewayContext;
  readonly #agent: ServerAgent;
  readonly #server: Server;
  readonly #arrivals: ArrivalWatch;
  readonly #running = new Set<AbortController>();
  #parts: FlowParts | undefined;
  #configuration: ConfigurationWatch | undefined;
  #kernel: Kernel | undefined;
  #stoppingSince: number | undefined;

  constructor(context: GatewayContext, agent: ServerAgent) {
    super();
    this.#context = context;
    this.#agent = agent;
    const options = { maxHeaderSize: MAX_HEAD_BYTES, noDelay: true };
    const server = createServer(options, (req, res) => void this.#handle(req, res));
    this.#server = closeWithCaller(server);
    this.#arrivals = new ArrivalWatch(context, server);
    this.#server.requestTimeout = 0;
  }

  /** Requests without a final answer. */
  get running(): number {
    return this.#running.size;
  }

  /** Whether this instance should get new connections. */
  get ready(): boolean {
    if (this.#stoppingSince !== undefined) return false;
    const hasServers = this.#parts?.lanes.hasServers ?? false;
    const isServing = this.#configuration?.table !== undefined && hasServers;
    return isServing && !this.#servesElsewhere;
  }

  /**
   * Whether a partition separates this instance from the servers: callers are better served by the
   * instances of another data centre, to which the balancer sends them when none here is ready. An
   * instance that lost only the store and its peers goes on, as all of them may have.
   */
  get #cutOff(): boolean {
    const outOfReach = this.#parts?.lanes.outOfReach ?? 'little';
    if (outOfReach === 'service') return true;
    const fresh = this.#configuration?.isFresh(this.#context.clock.now()) ?? false;
    return outOfReach === 'most' && !fresh;
  }

  /** Whether callers should not keep their connections. */
  get #turnsAway(): boolean {
    return this.#stoppingSince !== undefined || this.#servesElsewhere;
  }

  /** Whether callers are better served by other instances, as far as this one can tell. */
  get #servesElsewhere(): boolean {
    return this.#cutOff || (this.#parts?.prepaid.isDry ?? false);
  }

  override async start(kernel: Kernel): Promise<void> {
    this.#kernel = kernel;
    const lanes = kernel.get('lanes', BackendLanes);
    const prepaid = kernel.get('prepaid', PrepaidService);
    const directory = kernel.get('directory', ServerDirectory);
    this.#parts = {
      context: this.#context,
      lanes,
      prepaid,
      directory,
      agent: this.#agent,
    };
    this.#configuration = kernel.get('configuration', ConfigurationWatch);
    this.#configuration.onChange(({ config }) => {
      this.#server.keepAliveTimeout = config.limits.idleMs + IDLE_MARGIN_MS;
      this.#server.headersTimeout = config.limits.headMs;
    });
    const { host, port } = this.#context.settings.listen.entry;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: 1024 }, resolve);
    });
    this.#arrivals.start();
  }

  /** Not ready from now on; the requests in progress and those that cross are ended in order. */
  beginStop(): void {
    this.#stoppingSince ??= this.#context.clock.now();
  }

  override async stop(): Promise<void> {
    this.beginStop();
    const since = this.#stoppingSince ?? 0;
    const lastAt = since + this.#context.settings.stopGraceMs - STOP_MARGIN_MS;
    for (;;) {
      const now = this.#context.clock.now();
      const closed = now >= since + STILL_SENT_MS;
      // a balancer that finds too few instances ready sends new connections to this one all the
      // same; a stream begun that late would be cut at the end of the grace time.
      if (closed) this.#server.close();
      if (now >= lastAt || (closed && this.#running.size === 0)) break;
      await new Promise((resolve) => setTimeout(resolve, STOP_CHECK_MS));
    }
    for (const controller of this.#running) controller.abort();
    this.#arrivals.stop();
    this.#server.closeAllConnections();
    this.#agent.destroy();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrival = this.#arrivals.read(req);
    const answer = new CallerAnswer(res, () => this.#turnsAway);
    const decoded = this.#context.dialects.callers.decode(req);
    if (decoded.isErr) {
      const refusal: Refusal = { reason: 'bad-request', run: 'not-run', detail: decoded.error };
      this.#end('none', undefined, answer, arrival, this.#refuse(answer, refusal));
      return;
    }
    const head = decoded.value;
    try {
      await this.#route(req, head, answer, arrival);
    } catch (err) {
      // a fault in our own code must not leave the caller waiting.
      this.#kernel?.reportFailure(err, this.name);
      if (!answer.started) {
        this.#refuse(answer, {
          reason: 'backend-failed',
          run: 'unknown',
          detail: 'internal fault',
        });
      } else answer.cut();
      const outcome: Outcome = { type: 'broken', detail: describeError(err) };
      this.#end('none', head, answer, arrival, outcome);
    }
  }

  async #route(
    req: IncomingMessage,
    head: CallHead,
    answer: CallerAnswer,
    arrival: Arrival,
  ): Promise<void> {
    const table = this.#configuration?.table;
    const route = table?.findRoute(head.host, head.path);
    const account = head.key === undefined ? undefined : table?.findAccount(head.key);
    const limit = table?.config.limits.maxBodyBytes ?? 0;
    // the body is read in any case: a connection with unread bytes could not be used again.
    const body = await readRequestBody(req, limit);
    const refuse = (refusal: Refusal): void => {
      const outcome = this.#refuse(answer, refusal);
      this.#end(route?.name ?? 'none', head, answer, arrival, outcome);
    };
    const refusal = this.#judge(table, route, account, arrival.readAt);
    if (refusal) refuse(refusal);
    else if (body.type === 'gone') {
      this.#end(route?.name ?? 'none', head, answer, arrival, { type: 'gone' });
    } else if (body.type === 'too-large') refuse(tooLarge(limit));
    else {
      const service = route && table?.service(pickTarget(route, this.#context.random()) ?? '');
      if (!table || !route || !service) refuse(notReady());
      else if (!fits(head, service)) refuse(tooLong(service));
      else {
        const arrivedAt = arrival.countsFrom;
        const call = { head, body: body.bytes, table, route, account, service, arrivedAt, answer };
        await this.#run(call, arrival);
      }
    }
  }

  /** Runs a routed request until it ends, its caller leaves or its time is over. */
  async #run(call: Omit<RoutedCall, 'endsAt' | 'signal'>, arrival: Arrival): Promise<void> {
    const { head, route, account, table, answer, arrivedAt } = call;
    const endsAt = arrivedAt + Math.min(head.waitMs ?? DEFAULT_WAIT_MS, route.timeoutMs);
    const controller = new AbortController();
    this.#running.add(controller);
    const abort = (): void => {
      controller.abort();
    };
    const stopTimer = onTimeOver(endsAt - this.#context.clock.now(), abort);
    answer.onGone(abort);
    // a process that is behind reads the requests of callers who have given up meanwhile.
    await pendingReads();
    if (answer.gone) abort();
    const flow = new RequestFlow(this.#flowParts(), { ...call, endsAt, signal: controller.signal });
    try {
      const outcome = await flow.run();
      this.#end(route.name, head, answer, arrival, outcome, { flow, account, table });
    } finally {
      stopTimer();
      this.#running.delete(controller);
    }
  }

  /** Why a request can't be passed on, as far as the configuration in force tells. */
  #judge(
    table: RouteTable | undefined,
    route: Route | undefined,
    account: RoutedAccount | undefined,
    now: number,
  ): Refusal | undefined {
    if (!table) return notReady();
    // a newer configuration may know the route or key: cut off from the store nobody can say no.
    const fresh = this.#configuration?.isFresh(now) ?? false;
    if (!route) return fresh ? unknownRoute() : notReady();
    if (!route.open && !account) return fresh ? unknownKey() : notReady();
    return undefined;
  }

  #flowParts(): FlowParts {
    if (!this.#parts) throw new TypeError('the entry handles requests only after its start');
    return this.#parts;
  }

  #refuse(answer: CallerAnswer, refusal: Refusal): Outcome {
    if (answer.gone) return { type: 'gone' };
    const status = answer.refuse(this.#context.dialects.callers.writeRefusal(refusal));
    return { type: 'refused', status, refusal };
  }

  #end(
    route: string,
    head: CallHead | undefined,
    answer: CallerAnswer,
    arrival: Arrival,
    outcome: Outcome,
    run?: { flow: RequestFlow; account: RoutedAccount | undefined; table: RouteTable },
  ): void {
    const { clock, log, metrics } = this.#context;
    const now = clock.now();
    const ended = { route, head, answer, arrival, outcome, ...run, now };
    const doneMs = doneAfterMs(ended);
    const seconds = outcome.type === 'answered' ? doneMs / 1_000 : undefined;
    metrics.ended(route, outcome.refusal?.reason ?? outcome.type, seconds);
    log.write('request-ended', requestFields(ended, this.#configuration?.ageMs(now)));
  }
}
