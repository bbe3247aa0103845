import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { Kernel, KernelError, Service } from '@flamingocourse/kernel';

class Recorder extends Service {
  constructor(
    override readonly name: string,
    override readonly dependsOn: string[],
    readonly trace: string[],
    readonly failing = false,
  ) {
    super();
  }
  override start(): void {
    if (this.failing) throw new Error(`${this.name} failed`);
    this.trace.push(`+${this.name}`);
  }
  override stop(): void {
    this.trace.push(`-${this.name}`);
  }
}

test('services start after their dependencies and stop before them', async () => {
  const trace: string[] = [];
  const kernel = new Kernel()
    .register(new Recorder('entry', ['budget'], trace))
    .register(new Recorder('budget', ['platform'], trace))
    .register(new Recorder('platform', [], trace));
  await kernel.start();
  await kernel.stop();
  assert.deepEqual(trace, ['+platform', '+budget', '+entry', '-entry', '-budget', '-platform']);
});

test('a service that fails to start stops those already started', async () => {
  const trace: string[] = [];
  const kernel = new Kernel()
    .register(new Recorder('a', [], trace))
    .register(new Recorder('b', ['a'], trace, true));
  await assert.rejects(kernel.start(), /service "b" did not start/);
  assert.deepEqual(trace, ['+a', '-a']);
});

// Guards against a signal during the start, after which services go on starting and nobody stops them.
test('a stop during the start leaves no service running', async () => {
  const trace: string[] = [];
  let finishStart = (): void => undefined;
  class Slow extends Service {
    override readonly name = 'b';
    override async start(): Promise<void> {
      await new Promise<void>((resolve) => (finishStart = resolve));
      trace.push('+b');
    }
    override stop(): void {
      trace.push('-b');
    }
  }
  const kernel = new Kernel()
    .register(new Recorder('a', [], trace))
    .register(new Slow())
    .register(new Recorder('c', ['b'], trace));
  const started = kernel.start().catch(() => undefined);
  await setImmediate();
  const stopped = kernel.stop();
  finishStart();
  await Promise.all([started, stopped]);
  const running = ['a', 'b', 'c'].filter(
    (name) => trace.includes(`+${name}`) && !trace.includes(`-${name}`),
  );
  assert.deepEqual(running, []);
});

const wiringFaults = [
  {
    name: 'a cycle',
    services: [
      ['a', 'b'],
      ['b', 'a'],
    ],
    code: 'cycle',
  },
  { name: 'an unknown dependency', services: [['a', 'x']], code: 'unknown-service' },
  { name: 'a name used twice', services: [['a'], ['a']], code: 'duplicate-service' },
] as const;

for (const { name, services, code } of wiringFaults) {
  test(`${name} is refused`, async () => {
    const kernel = new Kernel();
    await assert.rejects(
      async () => {
        for (const [service, ...needs] of services) {
          kernel.register(new Recorder(service, needs, []));
        }
        await kernel.start();
      },
      (err) => err instanceof KernelError && err.code === code,
    );
  });
}
