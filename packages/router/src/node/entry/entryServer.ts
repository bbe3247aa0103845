/** HTTP listener for callers. */

import type { Kernel } from '@flamingocourse/kernel';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { RouterContext } from '../../types/routerContext.js';
import type { CallerRequest } from './callerRequest.js';
import type { Handling } from './requestRunner.js';
import { Service, decodePathPart, runInBackground } from '@flamingocourse/kernel';
import { createServer } from 'node:http';
import { Configuration } from '../../types/configuration.js';
import { Fleet } from '../../types/fleet.js';
import { Money } from '../../types/money.js';
import { notRun } from '../../utils/problem.js';
import { writeAnswer, writeFinishedAnswer, writeRefusal } from './answerWriter.js';
import { authenticate, parseCallerRequest } from './callerRequest.js';
import { forwardRequest } from './forward.js';
import { RequestRunner } from './requestRunner.js';
import { outcomeUnknown } from './work.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_MS = 30_000;
const REQUEST_PATH = /^\/v1\/requests\/([^/?]+)$/;

/** Accepts callers' HTTP requests; registered as `entry`. */
export class EntryServer extends Service {
  override readonly name = 'entry';
  override readonly dependsOn = ['requests', 'configuration', 'fleet', 'money'];

  readonly #context: RouterContext;
  /** Responses that are neither sent in full nor closed. */
  readonly #openResponses = new Set<ServerResponse>();
  #server: Server | undefined;
  #kernel!: Kernel;
  #requests!: RequestRunner;
  #configuration!: Configuration;
  #fleet!: Fleet;
  #money!: Money;

  constructor(context: RouterContext) {
    super();
    this.#context = context;
  }

  override async start(kernel: Kernel): Promise<void> {
    this.#kernel = kernel;
    this.#requests = kernel.get('requests', RequestRunner);
    this.#configuration = kernel.get('configuration', Configuration);
    this.#fleet = kernel.get('fleet', Fleet);
    this.#money = kernel.get('money', Money);
    const { entry } = this.#context.settings;
    const server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
      },
      (req, res) => {
        this.#track(res);
        runInBackground(
          () => this.#serve(req, res),
          (err) => {
            this.#kernel.reportFailure(err, this.name);
            res.destroy();
          },
        );
      },
    );
    server.maxConnections = entry.maxConnections;
    this.#server = server;
    await listen(server, entry.host, entry.port);
  }

  /** Refuses new requests immediately, waits for those in progress, then closes the listener. */
  override async stop(): Promise<void> {
    const server = this.#server;
    if (!server) return;
    this.#requests.refuseNew();
    await this.#requests.stop();
    await this.#waitForOpenResponses();
    // the remaining connections have no request: callers keep them alive or have just opened them.
    // Waiting for them would delay the shutdown until they time out.
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
      server.closeAllConnections();
    });
  }

  /** Port in use; differs from the setting if that is 0 (any free port). */
  get port(): number {
    return (this.#server?.address() as AddressInfo).port;
  }

  #track(res: ServerResponse): void {
    this.#openResponses.add(res);
    res.once('close', () => this.#openResponses.delete(res));
  }

  /** Waits until all open responses are closed, for at most `slowReaderMs`. */
  async #waitForOpenResponses(): Promise<void> {
    const { slowReaderMs } = this.#context.settings.entry;
    let timer: NodeJS.Timeout | undefined;
    const tooSlow = new Promise((resolve) => (timer = setTimeout(resolve, slowReaderMs)));
    const all = Promise.all(
      [...this.#openResponses].map(
        (res) => new Promise<void>((resolve) => res.once('close', resolve)),
      ),
    );
    await Promise.race([all, tooSlow]);
    clearTimeout(timer);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = (req.url ?? '/').split('?')[0] ?? '/';
    if (path === '/healthz') {
      sendJson(res, 200, { state: 'alive' });
      return;
    }
    if (path === '/readyz' || path === '/status') {
      const status = this.status();
      sendJson(res, status.ready ? 200 : 503, status);
      return;
    }
    const requestedTicket = REQUEST_PATH.exec(path)?.[1];
    if (requestedTicket !== undefined) {
      // no ticket has a malformed name, so there is none under it.
      await this.#sendRequestState(decodePathPart(requestedTicket) ?? requestedTicket, res);
      return;
    }
    const body = await readBody(req, this.#context.settings.entry.maxBodyBytes);
    if (body === 'gone') return;
    if (body === 'too-large') {
      this.#refuseTooLarge(res);
      return;
    }
    if (path === '/v1/models') this.#sendModels(req, res);
    else if (path === '/v1/tickets') this.#sendTicket(req, res);
    else await this.#serveRequest(req, res, body);
  }

  async #serveRequest(req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    const now = this.#context.clock.now();
    const parsed = parseCallerRequest(req, body, this.#configuration, now);
    if (parsed.isErr) {
      writeRefusal(res, parsed.error);
      return;
    }
    const handling = await this.#requests.handle(parsed.value);
    await this.#answer(parsed.value, handling, req, res, body);
  }

  async #answer(
    request: CallerRequest,
    handling: Handling,
    req: IncomingMessage,
    res: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    switch (handling.type) {
      case 'answer':
        await writeAnswer(request, handling.execution, res, {
          slowReaderMs: this.#context.settings.entry.slowReaderMs,
          now: () => this.#context.clock.now(),
        });
        return;
      case 'replay':
        writeFinishedAnswer(request, handling.end, '', handling.requestId, res);
        return;
      case 'refused':
        writeRefusal(res, handling.refusal);
        return;
      case 'forward': {
        const reached = await forwardRequest(handling.entryUrl, handling.ticket, req, body, res);
        if (!reached) writeRefusal(res, outcomeUnknown('The issuing router cannot be reached.'));
      }
    }
  }

  async #sendRequestState(ticket: string, res: ServerResponse): Promise<void> {
    const end = await this.#requests.awaitEnd(ticket);
    if (end === undefined) sendJson(res, 404, { state: 'unknown' });
    else if (end.type === 'refused') writeRefusal(res, end.refusal);
    else sendJson(res, 200, { state: 'whole' });
  }

  /** Body of `/readyz` and `/status`. */
  status(): { ready: boolean; [detail: string]: unknown } {
    const { self } = this.#fleet;
    return {
      ready: this.#money.ready && self.state === 'serving',
      state: self.state,
      incarnation: self.incarnation,
      dataCentre: self.dataCentre,
      revision: this.#configuration.revision,
      running: this.#requests.running,
      peers: this.#fleet.peers().map((peer) => ({
        incarnation: peer.info.incarnation,
        health: peer.health,
      })),
    };
  }

  #sendModels(req: IncomingMessage, res: ServerResponse): void {
    const account = authenticate(req, this.#configuration);
    if (account.isErr) {
      writeRefusal(res, account.error);
      return;
    }
    const models = this.#configuration.services().flatMap((service) => service.models);
    const data = models.map((id) => ({ id, object: 'model', owned_by: 'flamingocourse' }));
    sendJson(res, 200, { object: 'list', data });
  }

  #sendTicket(req: IncomingMessage, res: ServerResponse): void {
    const account = authenticate(req, this.#configuration);
    if (account.isErr) {
      writeRefusal(res, account.error);
      return;
    }
    const issued = this.#requests.issueTicket(account.value.name);
    if (issued.isErr) writeRefusal(res, issued.error);
    else sendJson(res, 201, { ticket: issued.value });
  }

  #refuseTooLarge(res: ServerResponse): void {
    const limit = this.#context.settings.entry.maxBodyBytes;
    // the rest of the body is not read, so the connection cannot be reused for another request.
    res.setHeader('connection', 'close');
    writeRefusal(res, notRun('too-large', `The body may have at most ${limit} bytes.`));
  }
}

/** Reads the whole body, unless it exceeds the limit or the caller disconnects. */
function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer | 'too-large' | 'gone'> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    req.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= maxBytes) {
        parts.push(part);
        return;
      }
      req.pause();
      resolve('too-large');
    });
    req.on('end', () => {
      resolve(Buffer.concat(parts));
    });
    req.on('error', () => {
      resolve('gone');
    });
    req.on('close', () => {
      resolve('gone');
    });
  });
}

function sendJson(res: ServerResponse, status: number, value: object): void {
  const body = JSON.stringify(value);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}

function listen(server: Server, host: string, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
