import type { Kernel, Service } from '@flamingocourse/kernel';
import type { Route, StreamAnswer } from '@flamingocourse/core';
import type { CallHead } from '../../packages/gateway/src/types/call.js';
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { test } from 'node:test';
import { MemoryEventLog, MonotonicClock } from '@flamingocourse/kernel';
import { MemoryObjectStore } from '@flamingocourse/store';
import { Result } from 'true-myth';
import { StreamOrigins } from '../../packages/gateway/src/node/streamOrigins.js';
import { StreamCalls } from '../../packages/gateway/src/types/streamCalls.js';
import { testContext } from '../gateway/testContext.js';

/** Peers that answer after a time. */
class SlowPeers extends StreamCalls {
  override keep(): Promise<Result<'kept', string>> {
    return Promise.resolve(Result.ok('kept'));
  }

  override async find(): Promise<Result<StreamAnswer, string>> {
    await delay(20);
    return Result.ok({
      knowledge: { type: 'known', origin: { service: 'llm', version: 'v1' } },
      software: {},
    });
  }
}

// Guards against a read of the store that ends the process, because it fails while peers are asked.
test('a stream goes on where a peer knows it, though the read of its versions fails', async () => {
  const log = new MemoryEventLog();
  const context = testContext(new MonotonicClock(), log, new MemoryObjectStore());
  const origins = new StreamOrigins(context, new SlowPeers());
  const all = ['a', 'b', 'c'].map((name) => ({ name, dataCentre: 'dc', meshUrl: 'http://mesh' }));
  const services: Record<string, object> = {
    instances: { all, onChange: callAtOnce },
    directory: { onChange: () => undefined },
    software: {
      settled: () => Promise.resolve(),
      refresh: () => Promise.reject(new Error('not a record')),
    },
  };
  origins.start({ get: (name: string) => services[name] as Service } as unknown as Kernel);
  const head = { id: 'r-2', resumes: 'r-1', resumeAfter: '1' } as CallHead;
  const route: Route = {
    name: 'draft',
    host: 'shop',
    pathPrefix: '/draft/',
    repetition: 'resumable-stream',
    maxAttempts: 1,
    timeoutMs: 1_000,
    targetMs: 1_000,
    priority: 0,
    open: true,
    targets: [{ service: 'llm', weight: 1 }],
  };
  const start = await origins.resolve({ head, route, account: undefined });
  assert.deepEqual(start.isOk && start.value.service, 'llm');
  const failed = log.events.filter(({ event }) => event === 'service-failed');
  assert.deepEqual(
    failed.map(({ fields }) => fields.service),
    ['streams'],
  );
});

function callAtOnce(listener: () => void): void {
  listener();
}
