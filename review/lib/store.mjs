// Stand-in of the platform's metadata store: objects by kind, one revision counter, conditional
// writes, lists and waiting calls for changes, as PROTOCOL.md describes them.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { createServer } from 'node:http';

const PAGE_SIZE = 500;

export class Store {
  #revision = 10;
  #kinds = new Map();
  #history = [];
  #waiting = new Set();
  #server = undefined;
  /** Log of each call; replaced by a script that wants it. */
  onCall = () => undefined;
  /** Decides about a call: 'serve', 'silent' (no answer at all) or a status. */
  mode = () => 'serve';

  async listen() {
    this.#server = createServer((req, res) => {
      this.#handle(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.port = this.#server.address().port;
    return this;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as the operator or a server does; returns the revision. */
  put(kind, name, spec) {
    const known = this.#of(kind).get(name);
    this.#revision += 1;
    const stored = {
      name,
      revision: this.#revision,
      created: known?.created ?? this.#revision,
      spec,
    };
    this.#of(kind).set(name, stored);
    this.#publish({ ...stored, kind, tombstone: false });
    return this.#revision;
  }

  remove(kind, name) {
    const known = this.#of(kind).get(name);
    if (!known) return;
    this.#revision += 1;
    this.#of(kind).delete(name);
    this.#publish({ ...known, revision: this.#revision, kind, tombstone: true });
  }

  get(kind, name) {
    return this.#of(kind).get(name)?.spec;
  }

  #of(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  #publish(change) {
    this.#history.push(change);
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const url = new URL(req.url, 'http://store');
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const mode = this.mode({ method: req.method, kind, name, req });
    this.onCall({ method: req.method, url: req.url, mode });
    if (mode === 'silent') return;
    if (mode !== 'serve') {
      send(res, mode, {});
      return;
    }
    if (req.method === 'GET' && name !== undefined) this.#read(res, kind, name);
    else if (req.method === 'GET' && url.searchParams.has('watch')) {
      await this.#watch(res, kind, url.searchParams);
    } else if (req.method === 'GET') this.#list(res, kind, url.searchParams.get('after') ?? '');
    else if (req.method === 'POST') this.#create(res, kind, body);
    else if (req.method === 'PUT') {
      this.#replace(res, kind, name, body, url.searchParams.get('revision'));
    } else if (req.method === 'DELETE') this.#delete(res, kind, name, url.searchParams);
    else send(res, 405, {});
  }

  #read(res, kind, name) {
    const stored = this.#of(kind).get(name);
    if (stored) send(res, 200, toBody(stored));
    else send(res, 404, {});
  }

  #list(res, kind, after) {
    const all = [...this.#of(kind).values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    const rest = all.filter(({ name }) => name > after);
    send(res, 200, {
      items: rest.slice(0, PAGE_SIZE).map(toBody),
      has_more: rest.length > PAGE_SIZE,
      store_revision: this.#revision,
    });
  }

  async #watch(res, kind, query) {
    const since = Number(query.get('watch'));
    const until = performance.now() + Number(query.get('wait_ms') ?? 0);
    const found = () =>
      this.#history.filter((change) => change.kind === kind && change.revision > since);
    while (found().length === 0 && performance.now() < until && !res.destroyed) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, until - performance.now()));
        this.#waiting.add(wake);
      });
    }
    const events = found().map((change) => ({
      object: toBody(change),
      tombstone: change.tombstone,
    }));
    send(res, 200, { events, store_revision: this.#revision });
  }

  #create(res, kind, body) {
    const { name } = body.metadata;
    if (this.#of(kind).has(name)) {
      send(res, 409, toBody(this.#of(kind).get(name)));
      return;
    }
    this.put(kind, name, body.spec);
    this.#read(res, kind, name);
  }

  #replace(res, kind, name, body, queried) {
    const stored = this.#of(kind).get(name);
    const revision = body.metadata?.revision ?? (queried === null ? undefined : Number(queried));
    if (!stored) send(res, 404, {});
    else if (revision !== undefined && revision !== stored.revision) send(res, 409, toBody(stored));
    else {
      const isSame = JSON.stringify(stored.spec) === JSON.stringify(body.spec);
      if (!isSame) this.put(kind, name, body.spec);
      this.#read(res, kind, name);
    }
  }

  #delete(res, kind, name, query) {
    const stored = this.#of(kind).get(name);
    const revision = query.get('revision');
    if (!stored) send(res, 404, {});
    else if (revision !== null && Number(revision) !== stored.revision)
      send(res, 409, toBody(stored));
    else {
      this.remove(kind, name);
      send(res, 200, toBody(stored));
    }
  }
}

function toBody({ name, revision, created, spec }) {
  return {
    metadata: { name, revision, create_rev: created, finalizers: [], deleting: false },
    spec,
    status: null,
  };
}

function send(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
