import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Kernel, Listeners } from '@flamingocourse/kernel';

// Guards against a fault in one part of the process that keeps all others from an event.
describe('a listener that throws', () => {
  function create(): { listeners: Listeners<number>; heard: string[] } {
    const listeners = new Listeners<number>('source');
    const heard: string[] = [];
    listeners.add((event) => heard.push(`first ${String(event)}`));
    listeners.add(() => {
      throw new RangeError('a fault');
    });
    listeners.add((event) => heard.push(`last ${String(event)}`));
    return { listeners, heard };
  }

  test('is reported for each event, and the others hear it', () => {
    const { listeners, heard } = create();
    const reported: string[] = [];
    const kernel = new Kernel();
    kernel.onFailure((err, service) => reported.push(`${service}: ${String(err)}`));
    listeners.reportTo(kernel);
    for (const event of [1, 2]) listeners.notify(event);
    assert.deepEqual(heard, ['first 1', 'last 1', 'first 2', 'last 2']);
    assert.deepEqual(reported, ['source: RangeError: a fault', 'source: RangeError: a fault']);
  });

  test('is thrown after the others have heard the event where nobody takes reports', () => {
    const { listeners, heard } = create();
    assert.throws(() => {
      listeners.notify(1);
    }, AggregateError);
    assert.deepEqual(heard, ['first 1', 'last 1']);
  });
});
