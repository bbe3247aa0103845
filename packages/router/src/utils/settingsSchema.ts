/** Schema of the router's settings file. Each description says which values are valid. */

import { settingsDefaults as defaults } from './settingsDefaults.js';
import { z } from 'zod';

const maxMs = 3_600_000;
const maxPort = 65_535;

const milliseconds = (text: string): z.ZodInt =>
  z.int().min(1).max(maxMs).describe(`whole milliseconds: ${text}`);

const count = (text: string, most: number): z.ZodInt =>
  z.int().min(1).max(most).describe(`a whole number from 1 to ${most}: ${text}`);

const host = z.string().min(1).describe('the IP number to listen on, such as "10.0.0.7"');

// Port 0 lets the system choose a free port, which is useful only in tests.
const port = z.int().min(0).max(maxPort).describe('a port number from 0 to 65535');

const url = (text: string): z.ZodURL =>
  z.url({ protocol: /^http$/ }).describe(`a URL such as "http://10.0.0.7:8080": ${text}`);

const entrySchema = z.strictObject({
  host: host.default(defaults.entry.host),
  port: port.default(defaults.entry.port),
  publicUrl: url('where peers reach the entry; from host and port if absent').optional(),
  maxBodyBytes: z
    .int()
    .min(1_024)
    .max(67_108_864)
    .describe('bytes from 1024 to 67108864: the largest body of a request')
    .default(defaults.entry.maxBodyBytes),
  maxConnections: count('open connections of callers', 65_536).default(
    defaults.entry.maxConnections,
  ),
  slowReaderMs: milliseconds('longest time that a caller may leave its answer unread').default(
    defaults.entry.slowReaderMs,
  ),
});

const meshSchema = z.strictObject({
  host: host.default(defaults.mesh.host),
  port: port.default(defaults.mesh.port),
  publicUrl: url('where peers reach the mesh; from host and port if absent').optional(),
  seeds: z
    .array(url('mesh of another router'))
    .max(64)
    .describe('an array of mesh URLs of other routers, used while the instance list is out')
    .default([...defaults.mesh.seeds]),
  heartbeatMs: milliseconds('time between heartbeats').default(defaults.mesh.heartbeatMs),
  suspectMs: milliseconds('silence after which a peer is suspect').default(defaults.mesh.suspectMs),
  goneMs: milliseconds('silence after which a peer is taken as gone and gets sealed').default(
    defaults.mesh.goneMs,
  ),
});

const platformSchema = z.strictObject({
  url: url('the platform'),
  timeoutMs: milliseconds('longest wait for a reply of the platform').default(
    defaults.platform.timeoutMs,
  ),
});

const budgetSchema = z.strictObject({
  ledgerPages: count('pages of the ledger, the same in the whole deployment', 1_024).default(
    defaults.budget.ledgerPages,
  ),
  claimPages: count('pages of claims, the same in the whole deployment', 1_024).default(
    defaults.budget.claimPages,
  ),
  groupCommitMs: milliseconds('time over which lines are gathered into one update').default(
    defaults.budget.groupCommitMs,
  ),
  witnessAfterMs: milliseconds('wait for the journal before the witnesses are asked').default(
    defaults.budget.witnessAfterMs,
  ),
  ledgerSyncMs: milliseconds('time between ledger updates of a data centre').default(
    defaults.budget.ledgerSyncMs,
  ),
  reserveWaitMs: milliseconds('longest wait for tokens to arrive before a refusal').default(
    defaults.budget.reserveWaitMs,
  ),
});

const routingSchema = z.strictObject({
  maxQueue: count('requests waiting for one service', 65_536).default(defaults.routing.maxQueue),
  loadPollMs: milliseconds('time between load reports').default(defaults.routing.loadPollMs),
  maxAttempts: count('attempts of an idempotent request, the first included', 10).default(
    defaults.routing.maxAttempts,
  ),
});

/** Schema of the whole settings file. */
export const settingsSchema = z
  .strictObject({
    instance: z
      .string()
      .regex(/^[a-z0-9-]{1,63}$/)
      .describe(
        'the name of this instance, unique in its data centre: small letters, digits and hyphens',
      ),
    dataCentre: z
      .string()
      .regex(/^[a-z0-9-]{1,63}$/)
      .describe('the name of the data centre: small letters, digits and hyphens'),
    fleetSecret: z
      .string()
      .min(16)
      .describe('a secret of 16 or more characters that all routers of the deployment share'),
    entry: entrySchema.prefault({}).describe('an object: listener for callers'),
    mesh: meshSchema.prefault({}).describe('an object: listener for peers'),
    platform: platformSchema.describe('an object with the url of the platform'),
    budget: budgetSchema.prefault({}).describe('an object: budgets and bills'),
    routing: routingSchema.prefault({}).describe('an object: routing and queues'),
    statsd: z
      .strictObject({ host, port })
      .describe('an object with host and port of a StatsD agent; metrics are dropped if absent')
      .optional(),
    logLevel: z
      .enum(['error', 'warn', 'info', 'debug'])
      .describe('"error", "warn", "info" or "debug": the least severe level that is logged')
      .default(defaults.logLevel),
    stopTimeoutMs: milliseconds(
      'longest wait of a graceful shutdown for requests in progress',
    ).default(defaults.stopTimeoutMs),
  })
  .describe('an object');

/** Settings from the file, with those defaults filled in that do not depend on other settings. */
export type WrittenSettings = z.infer<typeof settingsSchema>;

/** Documentation of one setting. */
export interface SettingDescription {
  /** Dotted path, such as `mesh.heartbeatMs`. */
  path: string;
  /** Default value as JSON; undefined if there is none. */
  defaultJson: string | undefined;
  text: string;
}

/** Lists every setting with its default, in the order of the schema. */
export function listSettings(): SettingDescription[] {
  return describeShape(settingsSchema.shape, '');
}

function describeShape(shape: Record<string, unknown>, prefix: string): SettingDescription[] {
  return Object.entries(shape).flatMap(([key, schema]) => describeField(schema, prefix + key));
}

function describeField(schema: unknown, path: string): SettingDescription[] {
  let current = schema;
  let defaultJson: string | undefined;
  let text = '';
  while (
    current instanceof z.ZodOptional ||
    current instanceof z.ZodDefault ||
    current instanceof z.ZodPrefault
  ) {
    if (current instanceof z.ZodDefault) defaultJson = JSON.stringify(current.def.defaultValue);
    current = current.unwrap();
  }
  if (current instanceof z.ZodObject) return describeShape(current.shape, `${path}.`);
  if (current instanceof z.ZodType) text = current.description ?? '';
  return [{ path, defaultJson, text }];
}
