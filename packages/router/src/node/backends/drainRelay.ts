/**
 * Reads operators' drains of backend servers from the platform's `orders` collection.
 *
 * One router of each data centre reads the orders and sends the drains to its peers, so that the
 * number of platform calls grows with the data centres and not with the routers. While the platform
 * is unreachable, the last known drains stay in force: a drained server must not get work again
 * because its order cannot be read.
 */

import type { Kernel, Steps } from '@flamingocourse/kernel';
import type { Collection, ObjectStore } from '@flamingocourse/store';
import type { MeshHints } from '../meshHints.js';
import { awaitPromise, Channel, Service, startLoop, takeWithin } from '@flamingocourse/kernel';
import { z } from 'zod';
import { Fleet } from '../../types/fleet.js';

const READ_INTERVAL_MS = 1_000;
const TOPIC = 'drains';

const drainSchema = z.object({ service: z.string(), server: z.string() });
const orderSchema = z.looseObject({ type: z.string() });
const orders: Collection<z.infer<typeof orderSchema>> = { name: 'orders', schema: orderSchema };

/** A backend server that must not get new work, by order of an operator. */
export type Drain = z.infer<typeof drainSchema>;

/** Distributes drains within the data centre. The service is registered as `drains`. */
export class DrainRelay extends Service {
  override readonly name = 'drains';
  override readonly dependsOn = ['fleet'];

  readonly #store: ObjectStore;
  readonly #hints: MeshHints;
  readonly #stopped = new Channel<true>(1);
  readonly #listeners: ((drains: Drain[]) => void)[] = [];
  #fleet!: Fleet;
  #drains: Drain[] = [];

  constructor(store: ObjectStore, hints: MeshHints) {
    super();
    this.#store = store;
    this.#hints = hints;
  }

  override async start(kernel: Kernel): Promise<void> {
    this.#fleet = kernel.get('fleet', Fleet);
    this.#hints.on(TOPIC, (value) => {
      const drains = z.array(drainSchema).safeParse(value);
      if (drains.success) this.#apply(drains.data);
    });
    await this.#read();
    startLoop(
      () => this.#run(),
      (err) => {
        kernel.reportFailure(err, this.name);
      },
    );
  }

  override stop(): void {
    this.#stopped.close();
  }

  /** Calls the listener with all drains in force, immediately and after each read. */
  onDrains(listener: (drains: Drain[]) => void): void {
    this.#listeners.push(listener);
    listener(this.#drains);
  }

  *#run(): Steps<void> {
    while (!this.#stopped.closed) {
      yield* takeWithin(this.#stopped, READ_INTERVAL_MS);
      const owner = this.#fleet.localOwner(TOPIC).incarnation;
      if (owner === this.#fleet.self.incarnation) yield* awaitPromise(this.#relay());
    }
  }

  async #relay(): Promise<void> {
    if (await this.#read()) this.#hints.publish(TOPIC, this.#drains);
  }

  async #read(): Promise<boolean> {
    const list = await this.#store.list(orders);
    if (list.isErr) return false;
    this.#apply(list.value.items.flatMap(({ value }) => toDrain(value)));
    return true;
  }

  #apply(drains: Drain[]): void {
    this.#drains = drains;
    for (const listener of this.#listeners) listener(drains);
  }
}

function toDrain(order: z.infer<typeof orderSchema>): Drain[] {
  const drain = drainSchema.safeParse(order);
  return order.type === 'drain' && drain.success ? [drain.data] : [];
}
