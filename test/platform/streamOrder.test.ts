import type { FakeServer } from './fakeServer.js';
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { OLD, STREAMS, behave, engines, startWorld } from './streamWorld.js';

/** Values of a field in the events of a body, in order. */
function valuesOf(field: string, body: string): number[] {
  return [...body.matchAll(new RegExp(`^${field}: (\\d+)$`, 'gm'))].map(([, text]) => Number(text));
}

// Guards against a number that decreases within one response, because its stream goes on at a server that does not
// continue it.
describe('a stream that breaks and may go on at a server', () => {
  const cases: {
    name: string;
    field: string;
    prepare: (server: FakeServer, at: number) => void;
  }[] = [
    {
      name: 'with other weights has no event of older weights after one of newer',
      field: 'x-weight-versions',
      prepare: (server, at) => {
        server.weights = 7 - at;
      },
    },
    {
      name: 'that starts it again has no event twice',
      field: 'id',
      prepare: (server) => {
        server.restartsStreams = true;
      },
    },
  ];
  for (const { name, field, prepare } of cases) {
    test(name, async (t) => {
      const world = await startWorld(t, [OLD]);
      for (const [at, server] of engines(world).entries()) prepare(server, at);
      behave(world, 'break-stream');
      const answers = await Promise.all(
        Array.from({ length: STREAMS }, (_, at) =>
          world.generate(`/saga/${String(at)}`, 1_000, { 'x-prompt-prefix': `${String(at)}:100` }),
        ),
      );
      const all = answers.map(({ body }) => valuesOf(field, body));
      const isSeen = all.every((values) => values.length > 0);
      assert.ok(isSeen, JSON.stringify(all));
      const decreased = all.filter(([first = 0, second = Infinity]) => {
        return field === 'id' ? second <= first : second < first;
      });
      assert.deepEqual(decreased, []);
    });
  }
});
