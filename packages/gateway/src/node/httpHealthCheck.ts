/** HTTP health check at the path that the configuration names. */

import type {
  ListedServer,
  ProbeResult,
  SendTarget,
  ServerId,
  ServerPool,
  ServiceName,
} from '@flamingocourse/core';
import type { ServerHead } from '../types/call.js';
import type { GatewayContext } from '../types/context.js';
import type { ConfigurationWatch } from './configurationWatch.js';
import type { ServerAgent } from './serverAgent.js';
import { HealthCheck } from '../types/healthCheck.js';
import { recordLoad } from './recordLoad.js';
import { recordNotice } from './recordNotice.js';
import { discardAnswer } from './discardAnswer.js';
import { openAttempt } from './httpAttempt.js';

/** Response timeout in milliseconds; a busy server may queue the health check. */
const RESPONSE_TIMEOUT_MS = 400;
const NO_BODY = Buffer.alloc(0);

/**
 * Sends health checks over the connections that requests use as well.
 *
 * @example
 * const health = new HttpHealthCheck(context, configuration, agent, findPool);
 * const result = await health.probe('p1', server);
 */
export class HttpHealthCheck extends HealthCheck {
  readonly #context: GatewayContext;
  readonly #configuration: ConfigurationWatch;
  readonly #agent: ServerAgent;
  readonly #findPool: (service: ServiceName) => ServerPool | undefined;

  /** @param findPool finds the servers of a service, which learn the load in the response. */
  constructor(
    context: GatewayContext,
    configuration: ConfigurationWatch,
    agent: ServerAgent,
    findPool: (service: ServiceName) => ServerPool | undefined,
  ) {
    super();
    this.#findPool = findPool;
    this.#context = context;
    this.#configuration = configuration;
    this.#agent = agent;
  }

  override async probe(id: ServerId, server: ListedServer): Promise<ProbeResult> {
    const { service, url, bornAt, slots, dataCentre } = server;
    const checked = { id, bornAt, slots, service, dataCentre };
    const target = this.#configuration.table?.service(service)?.healthPath;
    if (target === undefined) return 'unknown';
    const { clock, dialects, rules, settings } = this.#context;
    const now = clock.now();
    if (rules.closedBy(checked) === 'leaving') return 'leaving';
    // a health check counts towards the rate limit of the server, as a request does.
    if (rules.nextAt(checked, now) > now) return 'unknown';
    rules.recordSent(checked, now);
    const opened = await openAttempt({
      url,
      method: 'GET',
      target,
      headers: dialects.servers.healthHeaders(id, new URL(url).host),
      body: NO_BODY,
      agent: this.#agent,
      connectMs: settings.servers.connectMs,
      headMs: RESPONSE_TIMEOUT_MS,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    if (opened.isErr) return opened.error.reason === 'refused' ? 'gone' : 'unknown';
    const { head } = opened.value;
    if (!dialects.servers.answersCheck(head)) {
      opened.value.drop();
      return 'unknown';
    }
    discardAnswer(opened.value);
    const result = dialects.servers.judgeHealth(id, head);
    if (result !== 'gone') this.#record(checked, head);
    return result;
  }

  #record(server: SendTarget, head: ServerHead): void {
    recordLoad(this.#context, this.#findPool(server.service), server, head);
    recordNotice(this.#context, server, head);
  }
}
