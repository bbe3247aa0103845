/** Process of one server, which its run controls by signals and messages. */

import type { Socket } from 'node:net';
import type { ServerCommand, ServerNotice } from './soakServerMessages.js';
import { createRandom } from '../../packages/lab/src/runtime/random.js';
import { FakeServer } from '../platform/fakeServer.js';
import { planCopy } from './soakDuplicates.js';
import { ResponseCopies } from './soakResponseCopies.js';
import { responseBody } from './soakResponseChecks.js';

/** Bytes of a request body from which a server may respond before it has read it. */
const MIN_EARLY_BYTES = 20_000;
/** Fraction of such requests. */
const EARLY_FRACTION = 0.2;
/** Fraction of the requests whose connection is reset, so that streams go on elsewhere. */
const RESET_FRACTION = 0.04;
/** Maximum milliseconds from the request to the reset. */
const MAX_RESET_MS = 600;

const [name = '', software = 'v1', seed = '0'] = process.argv.slice(2);
const random = createRandom(Number(seed));
const copies = new Map<Socket, ResponseCopies>();
const server = new FakeServer(name);
let isFaulty = true;

server.software = software;
server.bornAt = 1;
server.behaviour = name.startsWith('e') ? 'stream' : 'answer';
server.namesRequests = true;
server.bodyFor = (requestId) => responseBody(name, requestId);
server.onConnection = (socket) => {
  const plan = (): ReturnType<typeof planCopy> => (isFaulty ? planCopy(random) : undefined);
  copies.set(socket, new ResponseCopies(socket, plan));
};
server.onRequest = (req, res) => {
  copies.get(req.socket)?.begin(res);
  if (!isFaulty || !random.chance(RESET_FRACTION)) return;
  setTimeout(
    () => {
      if (!res.writableFinished) req.socket.resetAndDestroy();
    },
    random.int(0, MAX_RESET_MS),
  );
};
server.earlyStatus = ({ headers }) => {
  const isLarge = Number(headers['content-length'] ?? 0) >= MIN_EARLY_BYTES;
  if (!isFaulty || !isLarge || !random.chance(EARLY_FRACTION)) return undefined;
  return random.pick([500, 503] as const);
};

process.on('message', (command: ServerCommand) => {
  switch (command) {
    case 'stop-faults':
      isFaulty = false;
      return;
    case 'collect':
      collect();
      return;
  }
});
process.on('disconnect', () => process.exit());

await server.listen({ after: () => undefined });
notify({ kind: 'listening', address: server.address });

function collect(): void {
  notify({
    kind: 'collected',
    // the bodies are not checked and would be large.
    seen: server.seen.map((request) => ({ ...request, body: '' })),
    timeOrigin: performance.timeOrigin,
    copies: [...copies.values()].reduce((sum, { sent }) => sum + sent, 0),
  });
}

function notify(notice: ServerNotice): void {
  process.send?.(notice);
}
