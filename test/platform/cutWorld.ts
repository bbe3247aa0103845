/** Instances of which some can be cut off from the store and from the others, by links between the two sides. */

import type { TestContext } from 'node:test';
import type { CutMode, Link } from '../../packages/lab/src/node/link/index.js';
import type { StoreView } from './fakeStore.js';
import type { World } from './world.js';
import { createLink } from '../../packages/lab/src/node/link/index.js';
import { untilListed } from './streamWorld.js';

/** Names of instances by data centre. */
type Sites = Record<string, string[]>;

/** What a side that is cut off loses. */
export type Lost = 'store and peers' | 'store' | 'peers';

/** A fleet in two parts. */
export interface CutFleet {
  /** Instances that stay in touch with the store, the first one included. */
  inTouch: World[];
  apart: World[];
  /** Cuts the instances apart off from the others, or ends the cut with `none`. */
  cut: (mode: CutMode, lost?: Lost) => void;
}

/** The meshes of both sides see each other through links, and so does the store see the instances apart. */
class Sides {
  readonly #links = new Map<string, Link>();
  readonly #apart: ReadonlySet<string>;

  constructor(apart: readonly string[]) {
    this.#apart = new Set(apart);
  }

  /** Starts the link through which the other side reaches an instance. */
  async add(t: TestContext, name: string, world: () => World | undefined): Promise<void> {
    const target = (): { host: string; port: number } => {
      return world()?.settings?.listen.mesh ?? { host: '127.0.0.1', port: 1 };
    };
    const link = await createLink({ target });
    t.after(() => link.close());
    this.#links.set(name, link);
  }

  cut(mode: CutMode): void {
    for (const link of this.#links.values()) link.setCut(mode);
  }

  /** The list of instances as one side reads it. */
  view(isApart: boolean): StoreView {
    return (kind, spec) => {
      if (kind !== 'fleet-instances') return spec;
      const { instances } = spec as { instances: Record<string, { meshUrl?: string }> };
      const seen = Object.entries(instances).map(([name, instance]) => {
        const isHere = this.#apart.has(name) === isApart;
        const meshUrl = isHere ? instance.meshUrl : this.#links.get(name)?.url;
        return [name, { ...instance, meshUrl }];
      });
      return { instances: Object.fromEntries(seen) as Record<string, object> };
    };
  }
}

/** Lets instances join that stay in touch with the first one, and others that can be cut off. */
export async function joinCutFleet(
  t: TestContext,
  first: World,
  { near, apart }: { near: Sites; apart: Sites },
): Promise<CutFleet> {
  const sides = new Sides(Object.values(apart).flat());
  const worlds = new Map<string, World>([[first.instance, first]]);
  first.store.view = sides.view(false);
  const { hostname, port } = new URL(await first.store.listenView(t, sides.view(true)));
  const storeLink = await createLink({ target: { host: hostname, port: Number(port) } });
  t.after(() => storeLink.close());
  const names = [first.instance, ...Object.values(near).flat(), ...Object.values(apart).flat()];
  for (const name of names) await sides.add(t, name, () => worlds.get(name));
  const join = async (sites: Sites, url: string): Promise<World[]> => {
    const joining = Object.entries(sites).flatMap(([dataCentre, members]) =>
      members.map(async (name) => {
        const world = await first.join(t, name, { mesh: true, dataCentre, store: { url } });
        worlds.set(name, world);
        return world;
      }),
    );
    return Promise.all(joining);
  };
  const inTouch = [first, ...(await join(near, first.store.url))];
  const others = await join(apart, storeLink.url);
  await first.allKnow([...inTouch, ...others]);
  await untilListed([...inTouch, ...others]);
  return {
    inTouch,
    apart: others,
    cut: (mode, lost = 'store and peers') => {
      if (lost !== 'peers') storeLink.setCut(mode);
      if (lost !== 'store') sides.cut(mode);
    },
  };
}
