/** Shape and defaults of the settings file. */

import { z } from 'zod';

const address = z
  .string()
  .regex(/^[^:\s]+:\d+$/)
  .describe('an address and a port, such as "10.0.0.4:8080"')
  .transform((text) => {
    const [host = '', port = '0'] = text.split(':');
    return { host, port: Number(port) };
  });

const milliseconds = z.number().int().positive().describe('a whole number of milliseconds');

/** Fields that are not known are passed over: the file may be written for newer versions too. */
export const gatewaySettingsSchema = z.object({
  instance: z.string().min(1).describe('the name of this instance'),
  dataCentre: z.string().min(1).describe('the name of the data centre'),
  listen: z.object({
    entry: address,
    ready: address,
    metrics: address.optional(),
    mesh: address.optional(),
  }),
  store: z.object({
    url: z.string().describe('the URL of the object store'),
    // a healthy store answers in some milliseconds, a slow one in some hundred.
    timeoutMs: milliseconds.default(1_000),
    // entries of servers that live lapse during an outage of 2.3 seconds; a longer silence would hide it.
    watchIdleMs: milliseconds.default(2_400),
    // a watch that went silent has to be opened anew before changes are due in force here again. Each
    // waiting call has its price, so this is as long as the platform allows.
    configurationIdleMs: milliseconds.default(2_400),
  }),
  prepaid: z
    .object({
      reportMs: milliseconds.default(2_000),
      rideThroughSeconds: z.number().positive().default(9.5),
      // whether a request of which the account got nothing is charged with its prompt.
      unanswered: z.enum(['free', 'charged']).default('free'),
      // outlasts any restart or cut that we were told of; an instance that was only cut off for longer
      // loses some ten seconds of tokens.
      silentMs: milliseconds.default(600_000),
      // time between two looks at the members of a group; two reads a minute cost nothing that shows.
      tendMs: milliseconds.default(60_000),
    })
    .prefault({}),
  retries: z.object({
    ratio: z.number().min(0).max(1),
    slack: z.number().min(0),
    windowMs: milliseconds,
  }),
  servers: z
    .object({
      // servers that live have written their entry again two seconds after the store's return.
      lapseGraceMs: milliseconds.default(2_200),
      // a new connection takes two milliseconds; a server that lost power never answers.
      connectMs: milliseconds.default(250),
    })
    .prefault({}),
  stopGraceMs: milliseconds.default(8_000),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});
