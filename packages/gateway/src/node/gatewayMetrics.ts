/** Prometheus metrics of the process. */

import type { ProcessVerdict, PromptReading } from '@flamingocourse/core';
import type { ClientClose } from '@flamingocourse/kernel';
import type { CallCounters, CollectionCalls } from '@flamingocourse/store';
import type { ListenerName } from '../types/clientLimits.js';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/**
 * Histogram buckets in seconds, from a plain call's few milliseconds to the longest time limits.
 */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15];

/**
 * Metrics of one process.
 *
 * @example
 * metrics.ended('listing', 'answered', 0.42);
 * res.end(await metrics.text());
 */
export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: 'flamingocourse_requests_total',
    help: 'requests by route and outcome',
    labelNames: ['route', 'outcome'],
    registers: [this.#registry],
  });
  readonly #latency = new Histogram({
    name: 'flamingocourse_request_seconds',
    help: 'time to the whole answer, or to the first event of a stream',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS,
    registers: [this.#registry],
  });
  readonly #unread = new Histogram({
    name: 'flamingocourse_request_unread_seconds',
    help: 'time for which a request may have lain unread, at most',
    buckets: LATENCY_BUCKETS,
    registers: [this.#registry],
  });
  readonly #closedUnread = new Counter({
    name: 'flamingocourse_connections_closed_unread_total',
    help: 'connections of callers that waited too long to be read and were closed without reading',
    registers: [this.#registry],
  });
  readonly #clientCloses = new Counter({
    name: 'flamingocourse_client_connections_closed_total',
    help: 'connections of clients that were closed because of a limit, by listener and cause',
    labelNames: ['listener', 'cause'],
    registers: [this.#registry],
  });
  readonly #sheds = new Counter({
    name: 'flamingocourse_accept_queue_resets_total',
    help: 'times at which all connections of callers that waited to be accepted were closed',
    registers: [this.#registry],
  });
  readonly #outOfRotation = new Counter({
    name: 'flamingocourse_out_of_rotation_seconds_total',
    help: 'seconds for which this instance was out of rotation for lack of processor time',
    registers: [this.#registry],
  });
  readonly #attempts = new Counter({
    name: 'flamingocourse_attempts_total',
    help: 'attempts at servers by service and end',
    labelNames: ['service', 'end'],
    registers: [this.#registry],
  });
  readonly #processesAsked = new Counter({
    name: 'flamingocourse_server_processes_asked_total',
    help: 'questions which process is behind a connection to a server, by what was found',
    labelNames: ['found'],
    registers: [this.#registry],
  });
  readonly #rateLimitedAttempts = new Counter({
    name: 'flamingocourse_rate_limited_attempts_total',
    help: 'attempts at servers that name a rate limit, by service',
    labelNames: ['service'],
    registers: [this.#registry],
  });
  readonly #promptTokens = new Counter({
    name: 'flamingocourse_prompt_tokens_total',
    help: 'tokens of prompts by service and by how the server came by them, where caches are weighed',
    labelNames: ['service', 'how'],
    registers: [this.#registry],
  });
  readonly #wrongEstimates = new Counter({
    name: 'flamingocourse_prompt_estimates_wrong_total',
    help: 'parts of prompts that were believed to be cached and were read, by service',
    labelNames: ['service'],
    registers: [this.#registry],
  });
  readonly #prepaidRefused = new Counter({
    name: 'flamingocourse_prepaid_refused_total',
    help: 'requests refused for want of tokens, by client account and why the tokens were not had',
    labelNames: ['account', 'why'],
    registers: [this.#registry],
  });
  readonly #shareRefused = new Counter({
    name: 'flamingocourse_account_share_refused_total',
    help: 'requests refused because their account has used its fair share of an overloaded service',
    labelNames: ['service', 'account'],
    registers: [this.#registry],
  });
  readonly #quarantined = new Counter({
    name: 'flamingocourse_requests_quarantined_total',
    help: 'requests that this instance began to refuse because servers end under them',
    registers: [this.#registry],
  });
  readonly #storeCalls = new Counter({
    name: 'flamingocourse_store_calls_total',
    help: 'calls to the object store by kind; failed ones are also in flamingocourse_store_calls_failed_total',
    labelNames: ['kind'],
    registers: [this.#registry],
  });
  readonly #collectionCalls = new Counter({
    name: 'flamingocourse_store_collection_calls_total',
    help: 'calls to the object store by kind and by the collection that they concern',
    labelNames: ['kind', 'collection'],
    registers: [this.#registry],
  });
  readonly #storeFailures = new Counter({
    name: 'flamingocourse_store_calls_failed_total',
    help: 'calls to the object store that got no useful answer, by kind',
    labelNames: ['kind'],
    registers: [this.#registry],
  });
  readonly #tunnelsOpened = new Counter({
    name: 'flamingocourse_tunnels_opened_total',
    help: 'tunnels to servers opened for other instances',
    registers: [this.#registry],
  });
  readonly #tunnelBytes = new Counter({
    name: 'flamingocourse_tunnel_bytes_total',
    help: 'bytes that closed tunnels carried, both directions together',
    registers: [this.#registry],
  });
  readonly #tunnelsRefused = new Counter({
    name: 'flamingocourse_tunnels_refused_total',
    help: 'tunnels that other instances asked for and did not get, by reason',
    labelNames: ['reason'],
    registers: [this.#registry],
  });
  readonly #gauges = new Map<string, Gauge>();

  /** Counts a finished request. `seconds` is undefined if no server answered it. */
  ended(route: string, outcome: string, seconds: number | undefined): void {
    this.#requests.inc({ route, outcome });
    if (seconds !== undefined) this.#latency.observe({ route }, seconds);
  }

  /** Counts connections that were closed without reading, for lack of processor time. */
  closedUnread(count: number): void {
    this.#closedUnread.inc(count);
  }

  /** Counts a connection of a client that was closed because of a limit. */
  clientClosed(listener: ListenerName, cause: ClientClose): void {
    this.#clientCloses.inc({ listener, cause });
  }

  /** Counts a time at which all connections that waited to be accepted were closed. */
  shedWaiting(): void {
    this.#sheds.inc();
  }

  /** Counts a period out of rotation that has ended. */
  outOfRotation(seconds: number): void {
    this.#outOfRotation.inc(seconds);
  }

  /** Records the upper bound of the time for which a request was unread. */
  unread(seconds: number): void {
    this.#unread.observe(seconds);
  }

  /** Counts a finished attempt; `end` says how it ended. */
  attempt(service: string, end: string): void {
    this.#attempts.inc({ service, end });
  }

  /** Counts where the tokens of a prompt came from. */
  promptRead(service: string, reading: PromptReading): void {
    this.#promptTokens.inc({ service, how: 'found' }, reading.foundTokens);
    this.#promptTokens.inc({ service, how: 'copied' }, reading.copiedTokens);
    this.#promptTokens.inc({ service, how: 'read' }, reading.readTokens);
    this.#wrongEstimates.inc({ service }, reading.wrongParts);
  }

  /** Counts a request that was refused because no tokens were available. */
  prepaidRefused(account: string, why: string): void {
    this.#prepaidRefused.inc({ account, why });
  }

  /** Counts a request that was refused by its account's fair share of an overloaded service. */
  shareRefused(service: string, account: string): void {
    this.#shareRefused.inc({ service, account });
  }

  /** Counts a request that is refused from now on because it crashes backend servers. */
  quarantined(): void {
    this.#quarantined.inc();
  }

  /** Counts a question which process is behind a connection to a server. */
  processAsked(found: ProcessVerdict | 'no-answer'): void {
    this.#processesAsked.inc({ found });
  }

  /** Counts an attempt at a server that reports a rate limit. */
  rateLimitedAttempt(service: string): void {
    this.#rateLimitedAttempts.inc({ service });
  }

  /** Counts a tunnel opened for another instance; `open` is the number of open ones. */
  tunnelOpened(open: number): void {
    this.#tunnelsOpened.inc();
    this.#tunnelsOpen(open);
  }

  /** Counts a closed tunnel and the bytes that it carried; `open` is the number of open ones. */
  tunnelClosed(bytes: number, open: number): void {
    this.#tunnelBytes.inc(bytes);
    this.#tunnelsOpen(open);
  }

  /** Counts a tunnel that another instance was refused. */
  tunnelRefused(reason: string): void {
    this.#tunnelsRefused.inc({ reason });
  }

  /**
   * Replaces the store counters by the totals that the store's client has counted since the start.
   */
  storeCalls(counters: CallCounters): void {
    this.#storeCalls.reset();
    this.#storeFailures.reset();
    for (const [kind, { sent, failed }] of Object.entries(counters)) {
      this.#storeCalls.inc({ kind }, sent);
      this.#storeFailures.inc({ kind }, failed);
    }
  }

  /** Replaces the counters by collection in the same way. */
  collectionCalls(calls: readonly CollectionCalls[]): void {
    this.#collectionCalls.reset();
    for (const { kind, collection, sent } of calls) {
      this.#collectionCalls.inc({ kind, collection }, sent);
    }
  }

  /** Sets a gauge; `name` ends with its unit. */
  gauge(name: string, help: string, value: number, labels: Record<string, string> = {}): void {
    let gauge = this.#gauges.get(name);
    if (!gauge) {
      gauge = new Gauge({
        name: `flamingocourse_${name}`,
        help,
        labelNames: Object.keys(labels),
        registers: [this.#registry],
      });
      this.#gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  #tunnelsOpen(open: number): void {
    this.gauge('tunnels_open', 'open tunnels to servers for other instances', open);
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }
}
