/** Links between the processes of a run and its stand-ins, which can be cut one by one. */

import type { TestContext } from 'node:test';
import type { Link } from '../../packages/lab/src/node/link/index.js';
import type { FakeServer } from '../platform/fakeServer.js';
import type { FakeStore } from '../platform/fakeStore.js';
import { createLink } from '../../packages/lab/src/node/link/index.js';

/** Links of one instance. */
interface InstanceLinks {
  store: Link;
  /** By the id of the server. */
  servers: ReadonlyMap<string, Link>;
}

/**
 * A link to each server, which all instances use, and before it a link of each instance. The store
 * has one address for a server, so each instance reads the store through a view that names its own.
 *
 * @example
 * const links = await SoakLinks.create(store, servers, 3, t);
 * links.toServer(0, 'p1').setCut('silent');
 */
export class SoakLinks {
  private constructor(
    /** Links to the servers, in their order, before which each instance has its own. */
    readonly servers: readonly Link[],
    readonly instances: readonly InstanceLinks[],
  ) {}

  /** Creates the links and registers the servers under them. */
  static async create(
    store: FakeStore,
    servers: readonly FakeServer[],
    count: number,
    scope: Pick<TestContext, 'after'>,
  ): Promise<SoakLinks> {
    const shared = await Promise.all(servers.map((server) => linkTo(`http://${server.address}`)));
    for (const [at, { port }] of shared.entries()) registerServer(store, servers[at], port);
    const instances = await Promise.all(
      Array.from({ length: count }, async (): Promise<InstanceLinks> => {
        const own = await Promise.all(shared.map(({ url }) => linkTo(url)));
        const addresses = new Map(own.map(({ port }, at) => [addressOf(shared[at]), local(port)]));
        const url = await store.listenView(scope, (kind, spec) => {
          return kind === 'servers' ? withOwnAddress(spec, addresses) : spec;
        });
        const byId = new Map(own.map((link, at) => [servers[at]?.id ?? '', link]));
        return { store: await linkTo(url), servers: byId };
      }),
    );
    return new SoakLinks(shared, instances);
  }

  /** The link of the instance with the given index to a server. */
  toServer(instance: number, server: string): Link {
    const link = this.instances[instance]?.servers.get(server);
    if (!link) throw new RangeError(`no link of instance ${String(instance)} to ${server}`);
    return link;
  }

  async close(): Promise<void> {
    const own = this.instances.flatMap(({ store, servers }) => [store, ...servers.values()]);
    await Promise.all([...own, ...this.servers].map((link) => link.close()));
  }
}

function registerServer(store: FakeStore, server: FakeServer | undefined, port: number): void {
  if (!server) throw new RangeError('a link has no server');
  const isEngine = server.id.startsWith('e');
  server.behaviour = isEngine ? 'stream' : 'answer';
  server.bornAt = 1;
  const change = { address: local(port), slots: 16 };
  store.put('servers', server.id, server.entry(isEngine ? 'llm' : 'ledger', change));
}

function withOwnAddress(spec: unknown, addresses: ReadonlyMap<string, string>): unknown {
  if (typeof spec !== 'object' || spec === null || !('address' in spec)) return spec;
  return { ...spec, address: addresses.get(String(spec.address)) ?? spec.address };
}

function addressOf(link: Link | undefined): string {
  if (!link) throw new RangeError('a server has no link');
  return local(link.port);
}

function local(port: number): string {
  return `127.0.0.1:${String(port)}`;
}

function linkTo(url: string): Promise<Link> {
  const { hostname: host, port } = new URL(url);
  return createLink({ target: { host, port: Number(port) } });
}
