/** A fake of the platform's store: objects by kind, one revision counter, and long polling for changes. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { TestContext } from 'node:test';
import type { AddressInfo } from 'node:net';
import { createServer } from 'node:http';

interface Stored {
  name: string;
  revision: number;
  spec: unknown;
}

interface Change extends Stored {
  kind: string;
  tombstone: boolean;
}

/** What readers of one listener see instead of a stored value. */
export type StoreView = (kind: string, spec: unknown) => unknown;

/** The answer to one request, through the view of its listener. */
interface Reply {
  res: ServerResponse;
  view: StoreView;
}

/** JSON text that stands in answers as it is, for values that `JSON.stringify` can't write. */
export class RawJson {
  constructor(readonly text: string) {}
}

const PAGE_SIZE = 2;
/** What a store sends without end, encoded as chunks. */
const ENDLESS: ReadonlyMap<StoreFault, Buffer> = new Map([
  [
    'endless-body',
    Buffer.concat([Buffer.from('4000\r\n'), Buffer.alloc(0x4000, ' '), Buffer.from('\r\n')]),
  ],
  ['endless-small-chunks', Buffer.from('1\r\n \r\n'.repeat(2_000))],
]);
const asStored: StoreView = (_kind, spec) => spec;

/** Fault that the store currently simulates. */
export type StoreFault =
  | 'none'
  | 'silent'
  | 'down'
  | 'history-gone'
  /** Answers with a body that does not end. */
  | 'endless-body'
  /** Answers with a body in chunks of one byte that does not end. */
  | 'endless-small-chunks'
  /** Answers each list with the same page, which says that more follow. */
  | 'endless-pages';

export class FakeStore {
  fault: StoreFault = 'none';
  /** Object kind of each call so far. */
  readonly calls: string[] = [];
  url = '';
  /** What readers at `url` see. */
  view: StoreView = asStored;
  /** Called after a request that changes an object was answered. */
  afterChange: (kind: string) => void = () => undefined;
  #revision = 10;
  readonly #kinds = new Map<string, Map<string, Stored>>();
  #history: Change[] = [];
  readonly #waiting = new Set<() => void>();

  /** Writes an object directly, as the operator or a server would. Returns the new revision. */
  put(kind: string, name: string, spec: unknown): number {
    this.#revision += 1;
    const stored = { name, revision: this.#revision, spec };
    this.#kind(kind).set(name, stored);
    this.#publish({ ...stored, kind, tombstone: false });
    return this.#revision;
  }

  /** Removes an object. Returns the new revision. */
  remove(kind: string, name: string): number {
    this.#revision += 1;
    this.#kind(kind).delete(name);
    this.#publish({ kind, name, revision: this.#revision, spec: null, tombstone: true });
    return this.#revision;
  }

  names(kind: string): string[] {
    return [...this.#kind(kind).keys()];
  }

  value(kind: string, name: string): unknown {
    return this.#kind(kind).get(name)?.spec;
  }

  /** Listens until the test ends. */
  async listen(t: Pick<TestContext, 'after'>): Promise<this> {
    this.url = await this.listenView(t, (kind, spec) => this.view(kind, spec));
    return this;
  }

  /** Listens on another port until the test ends; whoever reads there sees the view. Returns the URL. */
  async listenView(t: Pick<TestContext, 'after'>, view: StoreView): Promise<string> {
    const server = createServer((req, res) => {
      this.calls.push(kindOf(req));
      if (this.fault === 'silent') return;
      const unit = ENDLESS.get(this.fault);
      if (unit) {
        sendEndlessly(res, unit);
        return;
      }
      void this.#answer(req, { res, view });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    t.after(() => {
      server.close();
      server.closeAllConnections();
    });
    return `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  }

  #kind(kind: string): Map<string, Stored> {
    const known = this.#kinds.get(kind) ?? new Map<string, Stored>();
    this.#kinds.set(kind, known);
    return known;
  }

  #publish(change: Change): void {
    this.#history.push(change);
    for (const wake of this.#waiting) wake();
  }

  async #answer(req: IncomingMessage, reply: Reply): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://localhost');
    const [, , , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    const body = await readJson(req);
    if (this.fault === 'down') send(reply.res, 503, {});
    else if (req.method === 'GET' && name !== undefined) this.#get(reply, kind, name);
    else if (req.method === 'GET' && url.searchParams.has('watch'))
      await this.#watch(reply, kind, url);
    else if (req.method === 'GET') this.#list(reply, kind, url.searchParams.get('after') ?? '');
    else {
      if (req.method === 'POST') this.#create(reply, kind, body);
      else if (req.method === 'DELETE')
        this.#delete(reply, kind, name ?? '', Number(url.searchParams.get('revision')));
      else this.#replace(reply, kind, name ?? '', body);
      this.afterChange(kind);
    }
  }

  #get(reply: Reply, kind: string, name: string): void {
    const stored = this.#kind(kind).get(name);
    if (stored) send(reply.res, 200, toBody(stored, kind, reply.view));
    else send(reply.res, 404, {});
  }

  #list(reply: Reply, kind: string, after: string): void {
    const all = [...this.#kind(kind).values()].sort((a, b) => (a.name < b.name ? -1 : 1));
    const isEndless = this.fault === 'endless-pages';
    const rest = isEndless ? all : all.filter(({ name }) => name > after);
    const items = rest.slice(0, PAGE_SIZE).map((stored) => toBody(stored, kind, reply.view));
    send(reply.res, 200, {
      items,
      has_more: isEndless || rest.length > PAGE_SIZE,
      store_revision: this.#revision,
    });
  }

  async #watch(reply: Reply, kind: string, url: URL): Promise<void> {
    if (this.fault === 'history-gone') {
      send(reply.res, 410, {});
      return;
    }
    const since = Number(url.searchParams.get('watch'));
    const waitMs = Number(url.searchParams.get('wait_ms'));
    if (!Number.isInteger(waitMs)) {
      send(reply.res, 400, {});
      return;
    }
    const end = Date.now() + waitMs;
    const newChanges = (): Change[] =>
      this.#history.filter((change) => change.kind === kind && change.revision > since);
    while (newChanges().length === 0 && Date.now() < end) await this.#nextChange(end - Date.now());
    const events = newChanges().map((change) => ({
      object: toBody(change, kind, reply.view),
      tombstone: change.tombstone,
    }));
    send(reply.res, 200, { events, store_revision: this.#revision });
  }

  #nextChange(withinMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, withinMs);
      this.#waiting.add(wake);
    });
  }

  #create(reply: Reply, kind: string, body: WrittenObject): void {
    const { name } = body.metadata;
    if (this.#kind(kind).has(name)) {
      send(reply.res, 409, {});
      return;
    }
    this.put(kind, name, body.spec);
    this.#get(reply, kind, name);
  }

  #delete(reply: Reply, kind: string, name: string, revision: number): void {
    const stored = this.#kind(kind).get(name);
    if (!stored) send(reply.res, 404, {});
    else if (stored.revision !== revision) send(reply.res, 409, toBody(stored, kind, reply.view));
    else {
      this.remove(kind, name);
      send(reply.res, 200, {});
    }
  }

  #replace(reply: Reply, kind: string, name: string, body: WrittenObject): void {
    const stored = this.#kind(kind).get(name);
    if (!stored) send(reply.res, 404, {});
    else if (stored.revision !== body.metadata.revision)
      send(reply.res, 409, toBody(stored, kind, reply.view));
    else {
      this.put(kind, name, body.spec);
      this.#get(reply, kind, name);
    }
  }
}

function kindOf({ url = '/' }: IncomingMessage): string {
  return decodeURIComponent(url.split('?')[0]?.split('/')[3] ?? '');
}

interface WrittenObject {
  metadata: { name: string; revision?: number };
  spec: unknown;
}

function toBody({ name, revision, spec }: Stored, kind: string, view: StoreView): unknown {
  return {
    metadata: { name, revision, create_rev: 1, finalizers: [], deleting: false },
    spec: view(kind, spec),
    status: null,
  };
}

async function readJson(req: IncomingMessage): Promise<WrittenObject> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return (text === '' ? { metadata: { name: '' } } : JSON.parse(text)) as WrittenObject;
}

function send(res: ServerResponse, status: number, body: unknown): void {
  const text = toJson(body);
  const length = Buffer.byteLength(text);
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': length });
  res.end(text);
}

function sendEndlessly({ socket }: ServerResponse, unit: Buffer): void {
  if (!socket) return;
  socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
  const write = (): void => {
    if (!socket.destroyed) socket.write(unit, () => setImmediate(write));
  };
  socket.on('error', () => undefined);
  write();
}

function toJson(body: unknown): string {
  const texts: string[] = [];
  const text = JSON.stringify(body, (_name, value: unknown) => {
    return value instanceof RawJson ? `@raw-${String(texts.push(value.text) - 1)}@` : value;
  });
  return text.replaceAll(/"@raw-(\d+)@"/g, (_match, at: string) => texts[Number(at)] ?? 'null');
}
