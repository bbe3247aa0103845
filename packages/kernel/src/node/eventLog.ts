/** Structured log of numbered events, written with winston. */

import type { EventName } from '../runtime/eventCatalogue.js';
import { Writable } from 'node:stream';
import sonicBoom from 'sonic-boom';
import winston from 'winston';
import { eventCatalogue } from '../runtime/eventCatalogue.js';
import { LineBatch } from './lineBatch.js';

/** Fields of one occurrence of an event. */
export type EventFields = Record<string, string | number | boolean | undefined>;

/** Log that events are written to. */
export abstract class EventLog {
  abstract write(event: EventName, fields?: EventFields): void;

  /** Number of lines dropped so far because the output was not read fast enough. */
  abstract readonly dropped: number;

  /**
   * Resolves when the buffered lines are written, or after a timeout. Call it before the process
   * exits.
   */
  abstract close(): Promise<void>;
}

/** Options of the winston log. */
export interface EventLogOptions {
  /** Lowest severity that is written. @default 'info' */
  level?: 'error' | 'warn' | 'info' | 'debug';
  /** Fields added to every line, such as the instance name. */
  defaults?: EventFields;
  /** Stream that lines are written to. @default 'stderr' */
  output?: LogOutput;
}

/**
 * `stderr`: written immediately, which blocks the process while a full pipe is not read. `stdout`:
 * written in the background, at most 50 ms later, warnings and errors at once; when the bounded buffer
 * is full, lines are dropped and counted.
 */
export type LogOutput = 'stderr' | 'stdout';

/** Maximum size of the buffer in bytes; holds some seconds of a busy process's log. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const STDOUT_FD = 1;
/** Maximum time that a stopping process waits for its last lines to be read, in milliseconds. */
const CLOSE_TIMEOUT_MS = 200;

/**
 * Writes each event as one line with a JSON object.
 *
 * @example
 * const log = new WinstonEventLog({ level: 'info', defaults: { instance: 'router-1' } });
 * log.write('router-started', { port: 8080 });
 */
export class WinstonEventLog extends EventLog {
  readonly #logger;
  #background: sonicBoom.SonicBoom | undefined;
  #batch: LineBatch | undefined;
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
    // the process may end right after a warning or an error.
    if (definition.level === 'warn' || definition.level === 'error') this.#batch?.flush();
  }

  get dropped(): number {
    return this.#dropped;
  }

  override close(): Promise<void> {
    const output = this.#background;
    if (!output) return Promise.resolve();
    this.#batch?.flush();
    return new Promise((resolve) => {
      setTimeout(resolve, CLOSE_TIMEOUT_MS);
      // emitted when the buffer is empty; sonic-boom's own flush does not wait for a write in
      // progress.
      output.once('drain', resolve);
    });
  }

  // a synchronous write to a full pipe would block all requests when the reader stops reading.
  #createBackgroundTransport(): winston.transport {
    const output = new sonicBoom.SonicBoom({
      fd: STDOUT_FD,
      sync: false,
      maxLength: MAX_BUFFERED_BYTES,
    });
    this.#background = output;
    output.on('drop', (lines: string) => {
      this.#dropped += lines.split('\n').length - 1;
    });
    output.on('error', () => {
      this.#dropped += 1;
    });
    let reportedDropped = 0;
    output.on('drain', () => {
      if (this.#dropped === reportedDropped) return;
      reportedDropped = this.#dropped;
      this.write('log-lines-dropped', { dropped: reportedDropped });
    });
    const batch = new LineBatch((lines) => output.write(lines));
    this.#batch = batch;
    const stream = new Writable({
      decodeStrings: false,
      write: (line: string, _encoding, done) => {
        batch.add(line);
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

/** Collects events in memory; for tests. */
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
