/** Work whose end nobody waits for: probes, reports, watches, exchanges with peers. */

/** Receives what background work throws, and the service that it belongs to. */
export type BackgroundFailure = (err: unknown, owner: string) => void;

/**
 * Starts work whose end nobody waits for. What it throws, at once or later, goes to `onFailure`: a rejection
 * that nothing handles would end the process.
 *
 * @example
 * runInBackground(() => this.#probe(id), (err) => kernel.reportFailure(err, this.name));
 */
export function runInBackground(work: () => unknown, onFailure: (err: unknown) => void): void {
  const run = async (): Promise<void> => {
    await work();
  };
  run().catch(onFailure);
}

/**
 * Background work of one process. A failure is reported, and the process goes on.
 *
 * @example
 * const background = new BackgroundWork((err, owner) => kernel.reportFailure(err, owner));
 * background.run('directory', () => this.#probe(id));
 */
export class BackgroundWork {
  readonly #onFailure: BackgroundFailure;

  /** @param onFailure @default ends the process */
  constructor(onFailure: BackgroundFailure = endProcess) {
    this.#onFailure = onFailure;
  }

  /** Reports a failure of work that others wait for as well. */
  report(err: unknown, owner: string): void {
    this.#onFailure(err, owner);
  }

  /** Starts work at once. */
  run(owner: string, work: () => unknown): void {
    runInBackground(work, (err) => {
      this.#onFailure(err, owner);
    });
  }

  /** Starts work after a time in milliseconds, unless the timer is cleared before. */
  after(ms: number, owner: string, work: () => unknown): NodeJS.Timeout {
    return setTimeout(() => {
      this.run(owner, work);
    }, ms);
  }

  /** Starts work at an interval in milliseconds, until the timer is cleared. */
  every(ms: number, owner: string, work: () => unknown): NodeJS.Timeout {
    return setInterval(() => {
      this.run(owner, work);
    }, ms);
  }
}

/** For processes without a log, such as tests. */
function endProcess(err: unknown, owner: string): void {
  queueMicrotask(() => {
    throw new Error(`background work of "${owner}" failed`, { cause: err });
  });
}
