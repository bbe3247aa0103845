/** Schema and defaults of the settings file. */

import type { ClientLimits } from '../types/clientLimits.js';
import { tableSchema } from '@flamingocourse/core';
import { z } from 'zod';
import { isInstanceName } from './instanceSchemas.js';
import { entryConnections, heldBytes } from '../runtime/defaultLimits.js';

const address = z
  .string()
  .regex(/^[^:\s]+:\d+$/)
  .describe('an address and a port, such as "10.0.0.4:8080"')
  .transform((text) => {
    const [host = '', port = '0'] = text.split(':');
    return { host, port: Number(port) };
  });

const milliseconds = z.number().int().positive().describe('a whole number of milliseconds');

const count = z.number().int().positive().describe('a whole number above 0');
const MIB = 1024 * 1024;

/** Defaults that no client meets which keeps to the limits of the configuration; see docs/LIMITS.md. */
const limits = z
  .object({
    // the smallest machine.
    memoryMb: z.number().positive().default(160),
    descriptors: count.default(4_096),
    connections: z
      .object({
        entry: count.optional(),
        ready: count.default(32),
        metrics: count.default(16),
        mesh: count.default(512),
      })
      .prefault({}),
    headBytes: count.min(1_024).default(64 * 1024),
    heldBytes: count.min(MIB).optional(),
    headMs: milliseconds.default(5_000),
    bodyMs: milliseconds.default(10_000),
    idleMs: milliseconds.default(60_000),
    unreadMs: milliseconds.default(10_000),
  })
  .transform(({ memoryMb, descriptors, connections, ...given }): ClientLimits => {
    const machine = { memoryMb, descriptors };
    const { ready, metrics, mesh } = connections;
    const entry = connections.entry ?? entryConnections(machine, ready + metrics + mesh);
    return {
      ...given,
      connections: { ...connections, entry },
      heldBytes: given.heldBytes ?? heldBytes(machine),
    };
  })
  .prefault({});

/** Ignores unknown fields, because the file may be written for a newer version. */
export const gatewaySettingsSchema = z.object({
  instance: z.string().refine(isInstanceName).describe('the name of this instance'),
  dataCentre: z.string().min(1).describe('the name of the data centre'),
  listen: z.object({
    entry: address,
    ready: address,
    metrics: address.optional(),
    mesh: address.optional(),
  }),
  store: z.object({
    url: z.string().describe('the URL of the object store'),
    // a healthy store responds within a few milliseconds, a slow one within a few hundred.
    timeoutMs: milliseconds.default(1_000),
    // entries of live servers expire during an outage of 2.3 seconds; a longer idle time would hide
    // it.
    watchIdleMs: milliseconds.default(2_400),
    // a silent watch has to be reopened before the time in which changes must take effect here is
    // over. Each long poll has a cost, so this is as long as the platform allows.
    configurationIdleMs: milliseconds.default(2_400),
  }),
  prepaid: z
    .object({
      reportMs: milliseconds.default(2_000),
      rideThroughSeconds: z.number().positive().default(9.5),
      // whether a request that returned nothing to the account is charged for its prompt.
      unanswered: z.enum(['free', 'charged']).default('free'),
      // longer than any restart or network partition that operators reported. An instance that was
      // only partitioned for longer loses about ten seconds' worth of tokens.
      silentMs: milliseconds.default(600_000),
      // interval between two checks of a group's members; two reads a minute have no noticeable
      // cost.
      tendMs: milliseconds.default(60_000),
    })
    .prefault({}),
  retries: z.object({
    ratio: z.number().min(0).max(1),
    slack: z.number().min(0),
    windowMs: milliseconds,
  }),
  regions: tableSchema(z.string(), z.string())
    .default({})
    .describe('the region of each data centre, by the name of the data centre'),
  terms: z
    .array(z.string())
    .default([])
    .describe('the terms that are in force for the deployment, as its platform names them'),
  evacuation: z.object({ applyMs: milliseconds.min(1_000) }).optional(),
  coldServers: z.object({ overshoot: z.number().min(0), slack: z.number().min(0) }).optional(),
  limits,
  servers: z
    .object({
      // live servers rewrite their entries within two seconds after the store is back.
      lapseGraceMs: milliseconds.default(2_200),
      // a new connection takes two milliseconds; a server without power never responds.
      connectMs: milliseconds.default(250),
    })
    .prefault({}),
  stopGraceMs: milliseconds.default(8_000),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});
