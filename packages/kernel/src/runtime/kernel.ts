/**
 * Micro-kernel: services register under a name, find each other by name, and start and stop in
 * order.
 */

import { LayerError } from '../utils/layerError.js';

export type KernelErrorCode = 'unknown-service' | 'duplicate-service' | 'cycle' | 'start-failed';

/** Error in the registration, dependencies or start of services. */
export class KernelError extends LayerError<KernelErrorCode> {
  override readonly layer = 'kernel';
}

/**
 * A long-lived part of a process.
 *
 * @example
 * class Ticker extends Service {
 *   override readonly name = 'ticker';
 *   override readonly dependsOn = ['clock'];
 *   override async start(kernel: Kernel): Promise<void> {}
 *   override async stop(): Promise<void> {}
 * }
 */
export abstract class Service {
  abstract readonly name: string;
  /** Names of services that must be started before this one and stopped after it. */
  readonly dependsOn: readonly string[] = [];

  abstract start(kernel: Kernel): Promise<void> | void;
  abstract stop(): Promise<void> | void;
}

/**
 * Registry of the services of one process.
 *
 * @example
 * const kernel = new Kernel();
 * kernel.register(new Ticker());
 * await kernel.start();
 * kernel.get('ticker', Ticker);
 * await kernel.stop();
 */
export class Kernel {
  readonly #services = new Map<string, Service>();
  #started: Service[] = [];
  #isStopping = false;
  #onFailure: (err: unknown, service: string) => void = defaultOnFailure;

  /** Adds a service. Throws `duplicate-service` if the name is already registered. */
  register(service: Service): this {
    if (this.#services.has(service.name)) {
      throw new KernelError('duplicate-service', `service "${service.name}" is registered twice`);
    }
    this.#services.set(service.name, service);
    return this;
  }

  /** Finds a service by name and checks its class. Throws `unknown-service`. */
  get<T extends Service>(name: string, type: abstract new (...args: never[]) => T): T {
    const service = this.#services.get(name);
    if (service instanceof type) return service;
    throw new KernelError('unknown-service', `no service "${name}" of type ${type.name}`);
  }

  /** Sets the handler for failures that running services report. */
  onFailure(handler: (err: unknown, service: string) => void): void {
    this.#onFailure = handler;
  }

  /** Reports a failure of a service's background work, so that it is not lost. */
  reportFailure(err: unknown, service: string): void {
    this.#onFailure(err, service);
  }

  /**
   * Starts all services, dependencies first. If one fails, or if a stop comes meanwhile, stops those
   * already started and throws.
   */
  async start(): Promise<void> {
    this.#isStopping = false;
    for (const service of this.#startOrder()) {
      try {
        await service.start(this);
        this.#started.push(service);
        this.#throwIfStopping();
      } catch (err) {
        await this.stop();
        throw new KernelError('start-failed', `service "${service.name}" did not start`, {
          cause: err,
        });
      }
    }
  }

  /** Stops all started services in reverse order; if one fails, the others are still stopped. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    const started = this.#started.reverse();
    this.#started = [];
    for (const service of started) {
      try {
        await service.stop();
      } catch (err) {
        this.#onFailure(err, service.name);
      }
    }
  }

  #throwIfStopping(): void {
    if (this.#isStopping) throw new Error('stopped during the start');
  }

  #startOrder(): Service[] {
    const order: Service[] = [];
    const state = new Map<string, 'visiting' | 'done'>();
    const visit = (name: string, dependent: string): void => {
      if (state.get(name) === 'done') return;
      if (state.get(name) === 'visiting') {
        throw new KernelError('cycle', `services depend on each other in a cycle at "${name}"`);
      }
      const service = this.#services.get(name);
      if (!service) {
        throw new KernelError('unknown-service', `"${dependent}" depends on unknown "${name}"`);
      }
      state.set(name, 'visiting');
      for (const dependency of service.dependsOn) visit(dependency, name);
      state.set(name, 'done');
      order.push(service);
    };
    for (const name of this.#services.keys()) visit(name, name);
    return order;
  }
}

function defaultOnFailure(err: unknown, service: string): void {
  queueMicrotask(() => {
    throw new KernelError('start-failed', `service "${service}" failed`, { cause: err });
  });
}
