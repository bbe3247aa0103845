/** HTTP listener for callers: decodes, routes and runs each request, and decides on readiness. */

import type { Refusal, Route, RouteTable, RoutedAccount } from '@flamingocourse/core';
import type {
  ClientConnections,
  BodyRead,
  Kernel,
  ListenerLimits,
  RequestBody,
} from '@flamingocourse/kernel';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CallHead } from '../types/call.js';
import type { AnswerEndCheck } from './answerEndCheck.js';
import type { ServerAgent } from './serverAgent.js';
import type { InstancePressure } from '../runtime/instancePressure.js';
import type { StopPhase } from '../runtime/stopSchedule.js';
import type { GatewayContext } from '../types/context.js';
import type { Outcome } from '../types/outcome.js';
import type { StreamStart } from '../types/streamStart.js';
import type { FlowParts } from '../types/flowParts.js';
import type { EndCause, IncomingCall, RequestLimit, RoutedCall } from '../types/requestRun.js';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { pickTarget } from '@flamingocourse/core';
import {
  Service,
  boundedServerOptions,
  describeError,
  onTimeout,
  orAborted,
  readRequestBody,
  waitForPendingReads,
  runInBackground,
} from '@flamingocourse/kernel';
import { ArrivalWatch } from './arrivalWatch.js';
import { BackendLanes } from './backendLanes.js';
import { CallerAnswer } from './callerAnswer.js';
import { CallerConnections } from './callerConnections.js';
import { closeOnCallerEnd } from './closeOnCallerEnd.js';
import { ConfigurationWatch } from './configurationWatch.js';
import { EntryReadiness } from './entryReadiness.js';
import { EvacuationWatch } from './evacuationWatch.js';
import {
  bodyTooLarge,
  fitsMemory,
  noRoomForBody,
  notReady,
  promptTooLong,
  refusalFor,
  stopping,
  unknownKey,
  unknownRoute,
  unusableEntry,
} from './entryRefusals.js';
import { boundClients, limitsOf } from './boundClients.js';
import { PrepaidService } from './prepaidService.js';
import { LISTEN_BACKLOG } from './reopenListener.js';
import { RequestFlow } from './requestFlow.js';
import { RoomService } from './roomService.js';
import { doneAfterMs, requestFields } from './requestLogLine.js';
import { RotationControl } from './rotationControl.js';
import { ServerDirectory } from './serverDirectory.js';
import type { ServerProcesses } from './serverProcesses.js';
import { StreamOrigins } from './streamOrigins.js';
import { StopSchedule } from '../runtime/stopSchedule.js';

/** Milliseconds beyond the idle limit announced to callers for which a connection stays open. */
const IDLE_MARGIN_MS = 1_000;
/** Timeout of a request whose caller sends none, in milliseconds. */
const DEFAULT_WAIT_MS = 30_000;
/** Milliseconds between two checks whether the last request has ended. */
const STOP_CHECK_MS = 50;
/** Milliseconds between two checks whether the final answers are written. */
const FINAL_ANSWER_CHECK_MS = 5;
/** Maximum milliseconds in which the final answers of aborted requests are written. */
const FINAL_ANSWERS_MS = 200;

/** A request whose head was read. */
interface ReadCall {
  head: CallHead;
  body: Promise<RequestBody>;
  limit: RequestLimit;
}

/** Service that accepts callers' requests. Registered as `entry`. */
export class EntryService extends Service {
  override readonly name = 'entry';
  override readonly dependsOn = [
    'configuration',
    'directory',
    'evacuations',
    'lanes',
    'prepaid',
    'rotation',
    'streams',
    'room',
  ];
  readonly #context: GatewayContext;
  readonly #agent: ServerAgent;
  readonly #processes: ServerProcesses;
  readonly #answerEnds: AnswerEndCheck;
  readonly #server: Server;
  readonly #arrivals: ArrivalWatch;
  readonly #connections: CallerConnections;
  readonly #clients: ClientConnections;
  /** Requests in progress, each with its answer. */
  readonly #running = new Map<AbortController, CallerAnswer>();
  #parts: FlowParts | undefined;
  #configuration: ConfigurationWatch | undefined;
  #kernel: Kernel | undefined;
  readonly #stopSchedule = new StopSchedule();
  readonly #readiness: EntryReadiness;

  constructor(
    context: GatewayContext,
    agent: ServerAgent,
    processes: ServerProcesses,
    answerEnds: AnswerEndCheck,
    pressure: InstancePressure,
  ) {
    super();
    this.#context = context;
    this.#agent = agent;
    this.#processes = processes;
    this.#answerEnds = answerEnds;
    this.#readiness = new EntryReadiness(context, this.#stopSchedule);
    const options = { ...boundedServerOptions(context.settings.limits), noDelay: true };
    const server = createServer(options, (req, res) => {
      runInBackground(
        () => this.#handle(req, res),
        (err) => {
          this.#kernel?.reportFailure(err, this.name);
          res.destroy();
        },
      );
    });
    this.#server = closeOnCallerEnd(server);
    this.#clients = boundClients(server, context, 'entry', () => this.#limits);
    this.#connections = new CallerConnections(
      server,
      () => this.#readiness.closesConnections,
      (socket) => this.#clients.hasAhead(socket),
    );
    this.#arrivals = new ArrivalWatch(context, server, pressure);
    this.#clients.start();
  }

  /** Number of requests in progress. */
  get running(): number {
    return this.#running.size;
  }

  /** Whether the load balancer should send new connections to this instance. */
  get ready(): boolean {
    return this.#readiness.ready;
  }

  override async start(kernel: Kernel): Promise<void> {
    this.#kernel = kernel;
    const lanes = kernel.get('lanes', BackendLanes);
    const prepaid = kernel.get('prepaid', PrepaidService);
    const directory = kernel.get('directory', ServerDirectory);
    const streams = kernel.get('streams', StreamOrigins);
    const room = kernel.get('room', RoomService);
    this.#parts = {
      context: this.#context,
      lanes,
      prepaid,
      directory,
      agent: this.#agent,
      processes: this.#processes,
      answerEnds: this.#answerEnds,
      streams,
      room,
    };
    const configuration = kernel.get('configuration', ConfigurationWatch);
    const evacuations = kernel.get('evacuations', EvacuationWatch);
    const rotation = kernel.get('rotation', RotationControl);
    this.#readiness.begin({ configuration, evacuations, lanes, prepaid, rotation });
    this.#configuration = configuration;
    configuration.onChange(({ config }) => {
      this.#server.keepAliveTimeout = config.limits.idleMs + IDLE_MARGIN_MS;
    });
    const { host, port } = this.#context.settings.listen.entry;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: LISTEN_BACKLOG }, resolve);
    });
    this.#arrivals.start();
  }

  /**
   * Reports not ready from now on. Requests in progress and late arrivals are still served.
   *
   * @returns earliest time at which the stop can have been requested. An instance that lags handles the
   *   signal late, but is killed a fixed time after the signal was sent.
   */
  beginStop(): number {
    const { clock, settings } = this.#context;
    const since = this.#arrivals.signalsFrom;
    this.#stopSchedule.begin({ graceMs: settings.stopGraceMs, since, now: clock.now() });
    return since;
  }

  override async stop(): Promise<void> {
    this.beginStop();
    await this.#waitWhile((phase) => phase === 'draining');
    // a load balancer that finds too few ready instances still sends new connections to this one.
    this.#arrivals.beginStop();
    this.#server.close();
    await this.#waitForAnswers();
    const { busy } = this.#connections;
    if (busy > 0) {
      this.#context.log.write('entry-stop-aborts', {
        running: this.#running.size,
        unanswered: busy,
      });
    }
    this.#endRunning(({ started }) => !started);
    await this.#waitWhile((phase) => phase === 'ending' && this.#connections.busy > 0);
    await this.#endAll();
    this.#arrivals.stop();
    this.#clients.stop();
    this.#server.closeAllConnections();
    this.#agent.destroy();
  }

  /** Whether requests have no complete answer yet, or may come on accepted connections. */
  #owesAnswers(): boolean {
    return this.#connections.busy > 0 || this.#arrivals.hasUnread;
  }

  async #waitWhile(holds: (phase: StopPhase) => boolean): Promise<void> {
    while (holds(this.#stopSchedule.phase(this.#context.clock.now()))) await delay(STOP_CHECK_MS);
  }

  /** Waits until no request is left to answer, or until the stop is over. */
  async #waitForAnswers(): Promise<void> {
    while (this.#stopSchedule.phase(this.#context.clock.now()) === 'finishing') {
      if (this.#owesAnswers()) await delay(STOP_CHECK_MS);
      else {
        // a request that has arrived on a connection that was just accepted is counted once it is read.
        await waitForPendingReads();
        if (!this.#owesAnswers()) return;
      }
    }
  }

  /** Ends all requests in progress, and waits until their final answers are written. */
  async #endAll(): Promise<void> {
    const until = this.#context.clock.now() + FINAL_ANSWERS_MS;
    this.#endRunning(() => true);
    while (this.#connections.busy > 0 && this.#context.clock.now() < until) {
      await delay(FINAL_ANSWER_CHECK_MS);
    }
  }

  /** Ends the requests in progress whose answers match. */
  #endRunning(matches: (answer: CallerAnswer) => boolean): void {
    for (const [controller, answer] of this.#running) {
      if (matches(answer)) controller.abort('stopping' satisfies EndCause);
    }
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const turn = this.#connections.read(req, res);
    const closesConnection = (): boolean =>
      this.#readiness.closesConnections && this.#connections.closeAfterResponse(req);
    const incoming: IncomingCall = {
      req,
      answer: new CallerAnswer(res, closesConnection, this.#context.answers),
      arrival: this.#arrivals.read(req, this.#clients.heldBackAt(req)),
      earlier: turn.earlier,
      stoppingMs: this.#stopSchedule.sinceMs(this.#context.clock.now()),
    };
    const { answer } = incoming;
    const decoded = this.#context.dialects.callers.decode(req);
    if (decoded.isErr) {
      req.resume();
      if (!(await turn.begins)) this.#recordClosing(undefined, incoming);
      else {
        const refusal: Refusal = { reason: 'bad-request', run: 'not-run', detail: decoded.error };
        this.#recordEnd('none', undefined, incoming, this.#refuse(answer, refusal));
      }
      return;
    }
    const head = decoded.value;
    // at once: a connection with unread bytes would not show that it was closed.
    const { body, release } = this.#readBody(req);
    const limit = this.#startLimit(head, incoming);
    try {
      if (await turn.begins) await this.#route({ head, body, limit }, incoming);
      else this.#recordClosing(head, incoming);
    } catch (err) {
      // a bug in this process must not leave the caller waiting.
      this.#kernel?.reportFailure(err, this.name);
      if (!answer.started) {
        this.#refuse(answer, {
          reason: 'backend-failed',
          run: 'unknown',
          detail: 'internal fault',
        });
      } else answer.abort();
      const outcome: Outcome = { type: 'broken', detail: describeError(err) };
      this.#recordEnd('none', head, incoming, outcome);
    } finally {
      limit.end();
      release();
    }
  }

  #recordClosing(head: CallHead | undefined, incoming: IncomingCall): void {
    const outcome = { type: 'gone', detail: 'its connection is being closed' } as const;
    this.#recordEnd('none', head, incoming, outcome);
  }

  /**
   * Starts the time limit of a request whose head was read. It covers all that the request waits for:
   * its body, the responses before it, what is known of its stream.
   */
  #startLimit(
    { host, path, waitMs = DEFAULT_WAIT_MS }: CallHead,
    { answer, arrival }: IncomingCall,
  ): RequestLimit & { end: () => void } {
    const routeMs = this.#configuration?.table?.findRoute(host, path)?.timeoutMs ?? Infinity;
    const endsAt = arrival.timeLimitStartsAt + Math.min(waitMs, routeMs);
    const controller = new AbortController();
    const endFor = (cause: EndCause) => (): void => {
      controller.abort(cause);
    };
    this.#running.set(controller, answer);
    const stopTimer = onTimeout(endsAt - this.#context.clock.now(), endFor('time-over'));
    answer.onCallerGone(endFor('caller-gone'));
    const end = (): void => {
      stopTimer();
      this.#running.delete(controller);
    };
    return { endsAt, signal: controller.signal, end };
  }

  #readBody(req: IncomingMessage): BodyRead {
    if (!this.#clients.isSurplus(req)) {
      return readRequestBody(req, this.#maxBodyBytes, this.#context.clientBytes);
    }
    req.resume();
    return { body: Promise.resolve({ type: 'no-room' }), release: () => undefined };
  }

  /** Limits of callers' connections; the configuration says how long they may take. */
  get #limits(): ListenerLimits {
    const own = limitsOf('entry', this.#context.settings.limits);
    const named = this.#configuration?.table?.config.limits;
    const times = named && { headMs: named.headMs, idleMs: named.idleMs + IDLE_MARGIN_MS };
    return { ...own, ...times, bodyMs: undefined };
  }

  get #maxBodyBytes(): number {
    return this.#configuration?.table?.config.limits.maxBodyBytes ?? 0;
  }

  async #route(read: ReadCall, incoming: IncomingCall): Promise<void> {
    const { head, limit } = read;
    const { answer, arrival } = incoming;
    const table = this.#configuration?.table;
    const route = table?.findRoute(head.host, head.path);
    const account = head.key === undefined ? undefined : table?.findAccount(head.key);
    const refuse = (refusal: Refusal): void => {
      this.#recordEnd(route?.name ?? 'none', head, incoming, this.#refuse(answer, refusal));
    };
    // a request that is refused anyway does not wait for its body.
    const refusal = this.#checkConfiguration(table, route, account, arrival.readAt);
    if (refusal) {
      refuse(refusal);
      return;
    }
    const body = await orAborted(read.body, limit.signal);
    if (body === undefined) refuse(refusalFor(limit.signal));
    else if (body.type === 'gone') {
      this.#recordEnd(route?.name ?? 'none', head, incoming, { type: 'gone' });
    } else if (body.type === 'no-room') refuse(noRoomForBody());
    else if (body.type === 'too-large') refuse(bodyTooLarge(this.#maxBodyBytes));
    else if (!table || !route) refuse(notReady());
    else {
      const resolving = this.#flowParts().streams.resolve({ head, route, account });
      const started = await orAborted(resolving, limit.signal);
      if (started === undefined) refuse(refusalFor(limit.signal));
      else if (started.isErr) refuse(started.error);
      else {
        const call = { head, body: body.bytes, table, route, account, ...limit };
        await this.#runAt(started.value, call, incoming);
      }
    }
  }

  /** Runs a request at the service that its stream belongs to, or else at one of its route. */
  async #runAt(
    stream: StreamStart,
    call: Omit<RoutedCall, 'service' | 'stream' | 'arrivedAt' | 'answer' | 'mayBegin'>,
    incoming: IncomingCall,
  ): Promise<void> {
    const { head, table, route } = call;
    const { answer, arrival } = incoming;
    const target = stream.service ?? pickTarget(route, this.#context.random()) ?? '';
    const service = table.service(target);
    if (service && fitsMemory(head, service)) {
      const arrivedAt = arrival.timeLimitStartsAt;
      await this.#run({ ...call, service, stream, arrivedAt, answer }, incoming);
    } else {
      const refusal = service ? promptTooLong(service) : notReady();
      this.#recordEnd(route.name, head, incoming, this.#refuse(answer, refusal));
    }
  }

  /** Runs a routed request until it ends, its caller disconnects or its deadline passes. */
  async #run(call: Omit<RoutedCall, 'mayBegin'>, incoming: IncomingCall): Promise<void> {
    const { head, route, account, table, answer, endsAt, signal } = call;
    const mayBegin = (): boolean => this.#stopSchedule.accepts(endsAt, this.#context.clock.now());
    const refuse = (refusal: Refusal): void => {
      this.#recordEnd(route.name, head, incoming, this.#refuse(answer, refusal));
    };
    if (!mayBegin()) {
      refuse(stopping());
      return;
    }
    // under event loop lag, the request may belong to a caller that has already disconnected.
    await waitForPendingReads();
    if (signal.aborted || this.#context.clock.now() >= endsAt) {
      refuse(refusalFor(signal));
      return;
    }
    const flow = new RequestFlow(this.#flowParts(), { ...call, mayBegin });
    const outcome = await flow.run();
    this.#recordEnd(route.name, head, incoming, outcome, { flow, account, table });
  }

  /** Checks a request against the current configuration; returns the refusal if it fails. */
  #checkConfiguration(
    table: RouteTable | undefined,
    route: Route | undefined,
    account: RoutedAccount | undefined,
    now: number,
  ): Refusal | undefined {
    if (!table || !this.#readiness.mayChooseServers) return notReady();
    // without contact to the store, a newer configuration may exist that has the route or the key.
    const fresh = this.#configuration?.isFresh(now) ?? false;
    if (!route) return fresh ? unknownRoute() : notReady();
    if (!route.open && !account) return fresh ? unknownKey() : notReady();
    if (route.unusable) return fresh ? unusableEntry('route') : notReady();
    if (account?.unusable) return fresh ? unusableEntry('account') : notReady();
    return undefined;
  }

  #flowParts(): FlowParts {
    if (!this.#parts) throw new TypeError('EntryService got a request before it was started');
    return this.#parts;
  }

  #refuse(answer: CallerAnswer, refusal: Refusal): Outcome {
    if (answer.callerGone) return { type: 'gone' };
    const status = answer.refuse(this.#context.dialects.callers.encodeRefusal(refusal));
    return { type: 'refused', status, refusal };
  }

  #recordEnd(
    route: string,
    head: CallHead | undefined,
    incoming: IncomingCall,
    outcome: Outcome,
    run?: { flow: RequestFlow; account: RoutedAccount | undefined; table: RouteTable },
  ): void {
    const { clock, log, metrics } = this.#context;
    const now = clock.now();
    const ended = { route, head, incoming, outcome, ...run, now };
    const doneMs = doneAfterMs(ended);
    const seconds = outcome.type === 'answered' ? doneMs / 1_000 : undefined;
    metrics.ended(route, outcome.refusal?.reason ?? outcome.type, seconds);
    log.write('request-ended', requestFields(ended, this.#configuration?.ageMs(now)));
  }
}
