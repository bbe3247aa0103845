// Stand-in of a backend server on raw TCP, so that a script decides about each byte that it sends.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { createServer } from 'node:net';
import { clearInterval, setInterval } from 'node:timers';

/** Reads requests from a socket one after the other; `onRequest` gets the head and the body. */
function readRequests(socket, onRequest) {
  let data = Buffer.alloc(0);
  socket.on('data', (chunk) => {
    data = Buffer.concat([data, chunk]);
    for (;;) {
      const end = data.indexOf('\r\n\r\n');
      if (end < 0) return;
      const [first, ...lines] = data.subarray(0, end).toString('latin1').split('\r\n');
      const headers = {};
      for (const line of lines) {
        const at = line.indexOf(':');
        headers[line.slice(0, at).trim().toLowerCase()] = line.slice(at + 1).trim();
      }
      const length = Number(headers['content-length'] ?? 0);
      if (data.length < end + 4 + length) return;
      const body = data.subarray(end + 4, end + 4 + length);
      data = data.subarray(end + 4 + length);
      const [method, target] = first.split(' ');
      onRequest({ method, target, headers, body: body.toString('latin1') });
    }
  });
}

export class Server {
  #sockets = new Set();
  /** Requests that it began to work on, in order. */
  runs = [];
  /** Answers one request; replaced by scripts. Health and state are answered before. */
  handle = (request, channel) => channel.answer(request);
  slots = 6;
  state = 'ready';

  constructor({ id, service, zone = 'hall-a', version = 's1', log = () => undefined }) {
    Object.assign(this, { id, service, zone, version, log });
  }

  async listen(port = 0) {
    this.net = createServer({ noDelay: true }, (socket) => this.#accept(socket));
    await new Promise((resolve) => this.net.listen(port, '127.0.0.1', resolve));
    this.port = this.net.address().port;
    return this;
  }

  close() {
    this.net.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Ends all connections by a reset, as a process that crashes does. */
  resetAll() {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  entry(change = {}) {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      seq: 1,
      ...change,
    };
  }

  #accept(socket) {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => undefined);
    const channel = new Channel(this, socket);
    readRequests(socket, (request) => {
      if (request.target === '/health') {
        channel.write(200, { 'X-Instance-Id': this.id }, '');
        return;
      }
      if (request.target.startsWith('/api/report')) {
        channel.write(
          200,
          { 'Content-Type': 'application/json' },
          JSON.stringify({ stage: 'unified', models: [], busy: false, seq: 0, waiting: 0 }),
        );
        return;
      }
      this.log(
        `server ${this.id} got ${request.method} ${request.target} id ${request.headers['x-request-id']}`,
      );
      if (request.headers['x-expect-instance'] !== this.id) {
        channel.write(421, { ...echo(request), 'X-Not-Executed': '1' }, '');
        return;
      }
      this.handle(request, channel);
    });
  }
}

/** One connection to a server. */
export class Channel {
  constructor(server, socket) {
    Object.assign(this, { server, socket });
  }

  /** Records that the request runs. */
  run(request) {
    this.server.runs.push({ id: request.headers['x-request-id'], request, at: performance.now() });
    this.server.log(`server ${this.server.id} RUNS id ${request.headers['x-request-id']}`);
  }

  /** Runs the request and answers it as a sound server. */
  answer(request, body = `done ${request.headers['x-request-id']}`) {
    this.run(request);
    this.write(200, proof(request), body);
  }

  /** Rejects the request without running it, as a full server. */
  reject(request) {
    this.server.log(`server ${this.server.id} rejects id ${request.headers['x-request-id']}`);
    this.raw(rejection(request));
  }

  write(status, headers, body) {
    this.raw(encode(status, headers, body));
  }

  raw(text) {
    if (!this.socket.destroyed) this.socket.write(text, 'latin1');
  }
}

export function echo(request) {
  const id = request.headers['x-request-id'];
  return id === undefined ? {} : { 'X-Request-Id': id };
}

export function proof(request) {
  return { ...echo(request), 'X-Response-Signature': `3e1b.${request.headers['x-request-id']}` };
}

/** The bytes of a rejection, which states that the request did not run. */
export function rejection(request) {
  return encode(503, { ...echo(request), 'X-Not-Executed': 'full' }, '');
}

export function encode(status, headers, body) {
  const lines = [`HTTP/1.1 ${status} ${status < 400 ? 'OK' : 'Error'}`];
  for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`);
  lines.push(`Content-Length: ${body.length}`, 'Keep-Alive: timeout=10', '', body);
  return lines.join('\r\n');
}

/** Writes a stream of events, from the one after `Last-Event-Id` on. */
export class EventStream {
  #timer;

  /** @param text returns the data of an event. */
  constructor(request, channel, { events, stepMs, text }) {
    Object.assign(this, { request, channel });
    const headers = { ...proof(request), 'Content-Type': 'text/event-stream' };
    const lines = ['HTTP/1.1 200 OK'];
    for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`);
    lines.push('Transfer-Encoding: chunked', 'Keep-Alive: timeout=10', '', '');
    channel.raw(lines.join('\r\n'));
    let next = Number(request.headers['last-event-id'] ?? 0) + 1;
    this.#timer = setInterval(() => {
      const event = `id: ${next}\ndata: ${text(next)}\n\n`;
      channel.raw(`${event.length.toString(16)}\r\n${event}\r\n`);
      if (next >= events) {
        this.stop();
        channel.raw('0\r\n\r\n');
      }
      next += 1;
    }, stepMs);
    channel.socket.on('close', () => this.stop());
  }

  stop() {
    clearInterval(this.#timer);
  }
}
