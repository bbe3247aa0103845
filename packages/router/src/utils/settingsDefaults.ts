/** Default values of the router settings. */

/** All defaults are defined here. docs/SETTINGS.md lists them, and a test compares both. */
export const settingsDefaults = {
  entry: {
    host: '127.0.0.1',
    port: 8_080,
    maxBodyBytes: 1_048_576,
    maxConnections: 2_048,
    slowReaderMs: 10_000,
  },
  mesh: {
    host: '127.0.0.1',
    port: 8_081,
    seeds: [] as string[],
    heartbeatMs: 1_000,
    suspectMs: 2_500,
    goneMs: 5_000,
  },
  platform: { timeoutMs: 1_500 },
  budget: {
    ledgerPages: 1,
    claimPages: 16,
    groupCommitMs: 50,
    witnessAfterMs: 60,
    ledgerSyncMs: 1_000,
    reserveWaitMs: 400,
  },
  routing: { maxQueue: 256, loadPollMs: 1_000, maxAttempts: 3 },
  logLevel: 'info',
  stopTimeoutMs: 120_000,
} as const satisfies Record<string, unknown>;
