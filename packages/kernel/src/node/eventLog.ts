/** Structured log of numbered events, by winston. */

import type { EventName } from '../runtime/eventCatalogue.js';
import winston from 'winston';
import { eventCatalogue } from '../runtime/eventCatalogue.js';

/** Values that belong to one occurrence of an event. */
export type EventFields = Record<string, string | number | boolean | undefined>;

/** Where events go. */
export abstract class EventLog {
  abstract write(event: EventName, fields?: EventFields): void;
}

/** Options of the winston log. */
export interface EventLogOptions {
  /** Least severe level that is written. @default 'info' */
  level?: 'error' | 'warn' | 'info' | 'debug';
  /** Fields added to every line, such as the instance name. */
  defaults?: EventFields;
}

/**
 * Writes one JSON object a line to standard error.
 *
 * @example
 * const log = new WinstonEventLog({ level: 'info', defaults: { instance: 'router-1' } });
 * log.write('router-started', { port: 8080 });
 */
export class WinstonEventLog extends EventLog {
  readonly #logger;

  constructor(options: EventLogOptions = {}) {
    super();
    this.#logger = winston.createLogger({
      level: options.level ?? 'info',
      defaultMeta: options.defaults ?? {},
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [createConsoleTransport()],
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
}

function createConsoleTransport(): winston.transport {
  const transport: unknown = new winston.transports.Console({
    stderrLevels: ['error', 'warn', 'info', 'debug'],
  });
  return transport as winston.transport;
}

/** Keeps events in memory, for tests. */
export class MemoryEventLog extends EventLog {
  readonly events: { event: EventName; fields: EventFields }[] = [];

  override write(event: EventName, fields: EventFields = {}): void {
    this.events.push({ event, fields });
  }
}
