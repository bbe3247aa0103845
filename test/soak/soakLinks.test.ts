import type { TestContext } from 'node:test';
import type { CutMode } from '../../packages/lab/src/node/link/index.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FakeServer } from '../platform/fakeServer.js';
import { FakeStore } from '../platform/fakeStore.js';
import { SoakLinks } from './soakLinks.js';

const INSTANCES = 2;
/** Milliseconds after which a server counts as cut off. */
const CUT_OFF_MS = 300;

async function startLinks(t: TestContext): Promise<SoakLinks> {
  const store = await new FakeStore().listen(t);
  const servers = await Promise.all(['p1', 'e1'].map((name) => new FakeServer(name).listen(t)));
  const links = await SoakLinks.create(store, servers, INSTANCES, t);
  t.after(() => links.close());
  return links;
}

/** Addresses of p1 in what the store answers to an instance. */
async function addressesIn(links: SoakLinks, instance: number, path: string): Promise<string[]> {
  const url = links.instances[instance]?.store.url ?? '';
  const body = await (await fetch(`${url}/api/v1/servers${path}`)).text();
  return [...body.matchAll(/"address":"([^"]*)"/g)].map(([, address]) => address ?? '');
}

async function reaches(links: SoakLinks, instance: number, server: string): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(CUT_OFF_MS);
    return (await fetch(`${links.toServer(instance, server).url}/health`, { signal })).ok;
  } catch {
    return false;
  }
}

// Guards against an instance that reaches a server past the link that a fault cuts.
describe('an instance reads the address of its own link to a server', () => {
  const cases = [
    { name: 'one entry', path: '/p1' },
    { name: 'the list', path: '' },
    { name: 'changes', path: '?watch=0&wait_ms=100' },
  ];
  for (const { name, path } of cases) {
    test(name, async (t) => {
      const links = await startLinks(t);
      for (let at = 0; at < INSTANCES; at += 1) {
        const addresses = await addressesIn(links, at, path);
        const own = `127.0.0.1:${String(links.toServer(at, 'p1').port)}`;
        assert.ok(addresses.includes(own), `${own} is not in ${addresses.join()}`);
        assert.equal(addresses.length, path === '/p1' ? 1 : 2);
      }
    });
  }
});

// Guards against a cut of one instance that others, or other servers, feel as well.
describe('a cut of one instance from one server concerns nobody else', () => {
  const modes: CutMode[] = ['silent', 'reset', 'refuse-new'];
  for (const mode of modes) {
    test(mode, async (t) => {
      const links = await startLinks(t);
      links.toServer(0, 'p1').setCut(mode);
      assert.equal(await reaches(links, 0, 'p1'), false);
      assert.equal(await reaches(links, 0, 'e1'), true);
      assert.equal(await reaches(links, 1, 'p1'), true);
      assert.equal((await addressesIn(links, 0, '/p1')).length, 1);
    });
  }
});
