// Starts instances of the project as separate processes, with the command of the deploy file and the
// settings that its template gives, on loopback addresses.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

export const HOST = 'logbok.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';
/** A second tenant and its key. */
export const OTHER_KEY = 'm7xk2c0vqq41hdtnw8ze';
export const OTHER_TENANT = 'bise417';
const READY_MS = 15_000;

/** The command of the role in the deploy file, as program and arguments. */
function deployCommand() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const [program, ...args] = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  return { program, args };
}

/** Ports of instances lie below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
const given = new Set();

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (given.has(port) || !(await isFree(port))) continue;
    given.add(port);
    ports.push(port);
  }
  return ports;
}

/** Script environment: record, temporary folder, processes, end. */
export class Case {
  #startedAt = performance.now();
  #instances = [];
  #closers = [];

  constructor(folder) {
    this.recordFile = join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.trouble = process.env.TROUBLE !== '0';
    this.log(`disruption ${this.trouble ? 'on' : 'off (TROUBLE=0)'}`);
  }

  log = (line) => {
    const at = ((performance.now() - this.#startedAt) / 1_000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${at} ${line}\n`);
  };

  closeAtEnd(thing) {
    this.#closers.push(thing);
    return thing;
  }

  async instance(name, storePort, change = {}) {
    const instance = new Instance(name, this, storePort, change);
    await instance.prepare();
    this.#instances.push(instance);
    return instance;
  }

  /** Ends everything; exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
  async end(code, verdict) {
    this.log(`verdict: ${verdict}`);
    console.log(verdict);
    await Promise.all(this.#instances.map((instance) => instance.kill()));
    for (const thing of this.#closers) thing.close();
    rmSync(this.folder, { recursive: true, force: true });
    process.exit(code);
  }
}

/** Runs a case; whatever is thrown means that it couldn't run. */
export async function runCase(folder, body) {
  const c = new Case(folder);
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => void c.end(2, `could not run: ended by ${signal}`));
  }
  const timer = setTimeout(() => void c.end(2, 'could not run: time is over'), 110_000);
  try {
    const { broken, verdict } = await body(c);
    clearTimeout(timer);
    await c.end(broken ? 1 : 0, verdict);
  } catch (err) {
    await c.end(2, `could not run: ${err.stack}`);
  }
}

class Instance {
  output = '';
  #child;
  #exits = [];

  constructor(name, c, storePort, change) {
    Object.assign(this, { name, c, storePort, change });
    this.file = join(c.folder, `${name}.jsonc`);
  }

  async prepare() {
    [this.front, this.readyPort, this.metrics, this.mesh] = await freePorts(4);
    writeFileSync(this.file, this.#settings());
  }

  /** The template of the deploy file, filled in as the platform does for a small deployment. */
  #settings() {
    const fields = {
      node_name: this.name,
      zone: this.change.zone ?? 'hall-a',
      ip: '127.0.0.1',
      'listen.front': `127.0.0.1:${this.front}`,
      'listen.ready': `127.0.0.1:${this.readyPort}`,
      'internal_port_range.0': this.mesh,
      'platform.address': `127.0.0.1:${this.storePort}`,
      'bounds.stability_window_ms': 3000,
      'bounds.retry_budget_ratio': 0.2,
      'bounds.budget_slack': 56,
      'bounds.budget_window_s': 10,
      'bounds.grace_s': 8,
      zones: { 'hall-a': 'sudurland', 'hall-b': 'sudurland', 'hall-c': 'sudurland' },
      contracts: [
        ...['base', 'drain', 'config', 'cost', 'retry'],
        ...['recover', 'engine', 'stream', 'tenants', 'platform'],
      ],
    };
    const text = readFileSync('deploy/settings.jsonc.template', 'utf8')
      .replaceAll(/\{\{#([a-z._]+)\}\}.*?\{\{\/\1\}\}/gs, '')
      // several instances share the loopback address, so each needs a port of its own here.
      .replace('{{ip}}:9464', `127.0.0.1:${this.metrics}`);
    return text.replaceAll(/\{\{([a-z_.0-9]+)(\|json)?\}\}/g, (_, name, json) => {
      const value = fields[name];
      if (value === undefined) throw new Error(`no value for ${name}`);
      return json || typeof value === 'object' ? JSON.stringify(value) : String(value);
    });
  }

  async start() {
    const { program, args } = deployCommand();
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, FLAMINGOCOURSE_CONFIG: this.file, ...(LANG ? { LANG } : {}) };
    this.c.log(`start instance ${this.name}: ${program} ${args.join(' ')}`);
    const child = spawn(program, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
    this.#child = child;
    const keep = (chunk) => (this.output += chunk.toString());
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      this.#exits.push({ code, signal });
      this.c.log(`instance ${this.name} exited: code ${code}, signal ${signal}`);
    });
    const until = performance.now() + READY_MS;
    while (!(await this.isReady())) {
      if (performance.now() > until) throw new Error(`${this.name} is not ready: ${this.output}`);
      await delay(50);
    }
    this.c.log(`instance ${this.name} is ready`);
  }

  isReady() {
    return new Promise((resolve) => {
      const options = { port: this.readyPort, path: '/api/ready', agent: false, timeout: 1000 };
      const req = request({ host: '127.0.0.1', ...options }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
      req.end();
    });
  }

  /** Log lines of an event. */
  events(name) {
    return this.output
      .split('\n')
      .filter((line) => line.includes(`"${name}"`))
      .map((line) => JSON.parse(line));
  }

  signal(name) {
    this.c.log(`signal ${name} to instance ${this.name}`);
    this.#child.kill(name);
  }

  get isRunning() {
    return this.#child?.exitCode === null && this.#child?.signalCode === null;
  }

  async exited() {
    while (this.isRunning) await delay(10);
  }

  async kill() {
    if (!this.isRunning) return;
    this.#child.kill('SIGCONT');
    this.#child.kill('SIGKILL');
    await this.exited();
  }
}

let calls = 0;

/** Sends one request as a client does; resolves to what the client sees. */
export function call(c, instance, options) {
  const {
    method = 'POST',
    path,
    body = 'x=1',
    waitMs = 2_500,
    headers = {},
    agent = false,
    quiet,
  } = options;
  calls += 1;
  const id = options.id ?? `c${String(calls).padStart(6, '0')}`;
  if (!quiet) c.log(`client sends ${method} ${path} id ${id} to ${instance.name}`);
  return new Promise((resolve) => {
    const chunks = [];
    const end = (result) => {
      clearTimeout(timer);
      const text =
        result.status >= 300 ? Buffer.concat(chunks).toString('latin1').slice(0, 160) : '';
      const what = `${result.status || result.error} ${result.note ?? ''} ${text}`.trim();
      if (!quiet) c.log(`client got for id ${id}: ${what}`);
      resolve({ id, body: Buffer.concat(chunks).toString('latin1'), ...result });
    };
    const req = request(
      {
        host: '127.0.0.1',
        port: instance.front,
        method,
        path,
        agent,
        headers: {
          Host: HOST,
          'X-Request-Id': id,
          'X-Deadline-Ms': String(waitMs),
          Authorization: `Token ${KEY}`,
          'Content-Length': Buffer.byteLength(body),
          ...headers,
        },
      },
      (res) => {
        res.on('data', (chunk) => {
          chunks.push(chunk);
          options.onData?.(chunk, req);
        });
        res.on('end', () => {
          end({ status: res.statusCode, headers: res.headers, complete: res.complete });
        });
        res.on('error', (err) => {
          end({ status: res.statusCode, headers: res.headers, complete: false, note: err.message });
        });
      },
    );
    const timer = setTimeout(() => req.destroy(new Error('time limit')), waitMs);
    req.on('error', (err) => end({ status: 0, error: err.message, complete: false }));
    req.end(body);
  });
}

const route = {
  hostname: HOST,
  timeout_ms: 1_200,
  target_latency_ms: 150,
  priority: 2,
  max_attempts: 1,
  public: false,
};

/** A configuration like that of the small deployment svifvakt-log. */
export function configuration(change = {}) {
  return {
    version: 7,
    routes: [
      {
        ...route,
        name: 'launch-stamp',
        path_prefix: '/launch/',
        kind: 'non_idempotent',
        service: 'logbok-app',
      },
      {
        ...route,
        name: 'landing-stamp',
        path_prefix: '/landing/',
        kind: 'idempotent',
        max_attempts: 2,
        service: 'logbok-app',
      },
      {
        ...route,
        name: 'field-chat',
        path_prefix: '/chat/',
        kind: 'streaming',
        timeout_ms: 15_000,
        target_latency_ms: 400,
        sticky_sessions: true,
        service: 'floki-llm',
      },
      {
        ...route,
        name: 'tow-bill',
        path_prefix: '/bill/',
        kind: 'streaming',
        resume_streams: true,
        timeout_ms: 4_000,
        target_latency_ms: 500,
        max_attempts: 2,
        sticky_sessions: true,
        service: 'floki-llm',
      },
    ],
    services: [
      { name: 'logbok-app', health_path: '/health', max_connections: 110 },
      {
        name: 'floki-llm',
        health_path: '/health',
        max_connections: 370,
        engine: { slots: 64, stride: 4, moves: true, kv_capacity_tokens: 253_336 },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      { name: TENANT, api_keys: [KEY], prepaid: 10_000_000 },
      { name: OTHER_TENANT, api_keys: [OTHER_KEY], prepaid: 10_000_000 },
    ],
    ...change,
  };
}
