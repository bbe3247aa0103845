/** Structured log of numbered events, by winston. */

import type { EventName } from '../runtime/eventCatalogue.js';
import { Writable } from 'node:stream';
import sonicBoom from 'sonic-boom';
import winston from 'winston';
import { eventCatalogue } from '../runtime/eventCatalogue.js';

/** Values that belong to one occurrence of an event. */
export type EventFields = Record<string, string | number | boolean | undefined>;

/** Where events go. */
export abstract class EventLog {
  abstract write(event: EventName, fields?: EventFields): void;

  /** Lines dropped so far because nobody read them in time. */
  abstract readonly dropped: number;

  /** Resolves once the lines that wait are written, or nobody has read them in time; for the end of a process. */
  abstract close(): Promise<void>;
}

/** Options of the winston log. */
export interface EventLogOptions {
  /** Least severe level that is written. @default 'info' */
  level?: 'error' | 'warn' | 'info' | 'debug';
  /** Fields added to every line, such as the instance name. */
  defaults?: EventFields;
  /** Where lines go. @default 'stderr' */
  output?: LogOutput;
}

/**
 * `stderr`: written at once, which blocks while nobody reads. `stdout`: written in the background;
 * lines that find the bounded buffer full are dropped and counted.
 */
export type LogOutput = 'stderr' | 'stdout';

/** Bytes of lines that wait to be written; some seconds of a busy process. */
const MAX_WAITING_BYTES = 1024 * 1024;
const STDOUT_FD = 1;
/** Milliseconds that a process which ends waits for its last lines to be read. */
const CLOSE_MS = 200;

/**
 * Writes one JSON object a line.
 *
 * @example
 * const log = new WinstonEventLog({ level: 'info', defaults: { instance: 'router-1' } });
 * log.write('router-started', { port: 8080 });
 */
export class WinstonEventLog extends EventLog {
  readonly #logger;
  #background: sonicBoom.SonicBoom | undefined;
  #dropped = 0;

  constructor(options: EventLogOptions = {}) {
    super();
    this.#logger = winston.createLogger({
      level: options.level ?? 'info',
      defaultMeta: options.defaults ?? {},
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [
        options.output === 'stdout' ? this.#createBackgroundTransport() : createConsoleTransport(),
      ],
    });
  }

  override write(event: EventName, fields: EventFields = {}): void {
    const definition = eventCatalogue[event];
    this.#logger.log(definition.level, definition.text, {
      event: definition.number,
      name: event,
      ...fields,
    });
  }

  get dropped(): number {
    return this.#dropped;
  }

  override close(): Promise<void> {
    const output = this.#background;
    if (!output) return Promise.resolve();
    return new Promise((resolve) => {
      setTimeout(resolve, CLOSE_MS);
      // comes with the end of each batch of lines; sonic-boom's own flush does not wait for one on its way.
      output.once('drain', resolve);
    });
  }

  // a reader that stops reading must not stop the requests: a write to a full pipe would block.
  #createBackgroundTransport(): winston.transport {
    const output = new sonicBoom.SonicBoom({
      fd: STDOUT_FD,
      sync: false,
      maxLength: MAX_WAITING_BYTES,
    });
    this.#background = output;
    output.on('drop', () => {
      this.#dropped += 1;
    });
    output.on('error', () => {
      this.#dropped += 1;
    });
    let told = 0;
    output.on('drain', () => {
      if (this.#dropped === told) return;
      told = this.#dropped;
      this.write('log-lines-dropped', { dropped: told });
    });
    const stream = new Writable({
      decodeStrings: false,
      write: (line: string, _encoding, done) => {
        output.write(line);
        done();
      },
    });
    const transport: unknown = new winston.transports.Stream({ stream });
    return transport as winston.transport;
  }
}

function createConsoleTransport(): winston.transport {
  const transport: unknown = new winston.transports.Console({
    stderrLevels: ['error', 'warn', 'info', 'debug'],
  });
  return transport as winston.transport;
}

/** Keeps events in memory, for tests. */
export class MemoryEventLog extends EventLog {
  override readonly dropped = 0;
  readonly events: { event: EventName; fields: EventFields }[] = [];

  override write(event: EventName, fields: EventFields = {}): void {
    this.events.push({ event, fields });
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
