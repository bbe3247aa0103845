import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { callRoute, ownHead, routes, startAlone } from './rawServer.js';

const statuses = ['000', '099', '101', '199', '600', '999'];

// Guards against a status that HTTP does not name, which callers could not understand.
describe('a status that HTTP does not name is not passed on', { concurrency: 4 }, () => {
  for (const status of statuses) {
    for (const { path, service, name } of routes) {
      test(`${status}, to ${name}`, async (t) => {
        const world = await startAlone(t, service, (socket, id) => {
          socket.write(`${ownHead(`${status} Odd`, id, 'Content-Length: 2')}ok`);
        });
        const answer = await callRoute(world, path, 'x=1');
        t.diagnostic(`${String(answer.status)}, ${answer.body.slice(0, 60)}`);
        // the request may have run, so nothing else can be said of it.
        assert.ok([0, 502, 504].includes(answer.status), String(answer.status));
      });
    }
  }
});
