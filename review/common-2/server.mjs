/**
 * A backend server. It says to its parent what it runs. A request asks for its kind of answer in the
 * header `x-asked`: `unframed` has neither a length nor chunks, `held` is not answered before its time
 * limit, `paced` is a stream of an event every quarter of a second, all others have a length.
 * `x-pause-ms` is the time between the first part and the rest.
 */

import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

const [id, host, port, version] = process.argv.slice(2);
const PACED_EVENTS = 40;
const PACE_MS = 250;
const FIRST = 'the first part of the answer; ';
const REST = 'the rest of the answer';

function events(from, to) {
  return Array.from({ length: to - from }, (_, at) => {
    const number = from + at + 1;
    return `id: ${number}\ndata: piece ${number} of 4\n\n`;
  });
}

function tell(what, request) {
  process.send?.({ what, request });
}

const server = createServer({ keepAliveTimeout: 5_000 }, (req, res) => void answer(req, res));
server.listen(Number(port), host, () => process.send?.({ port: server.address().port }));
process.on('disconnect', () => process.exit());

async function answer(req, res) {
  for await (const chunk of req) void chunk;
  const { headers, url, method } = req;
  if (url === '/health') {
    res
      .writeHead(200, { 'x-instance-id': id, 'x-server-load': '0,0,8', 'content-length': 0 })
      .end();
    return;
  }
  if (url === '/api/report') {
    const text = JSON.stringify({ stage: 'unified', models: [], busy: false, waiting: 0 });
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length });
    res.end(text);
    return;
  }
  const request = headers['x-request-id'];
  const own = { 'X-Request-Id': request, 'X-Response-Signature': `proof.${id}.${request}` };
  if (headers['x-expect-instance'] !== id) {
    res.writeHead(421, { ...own, 'content-length': 0 }).end();
    return;
  }
  tell('runs', `${request} (${method} ${url})`);
  const isStream = headers['x-model'] !== undefined;
  const pauseMs = Number(headers['x-pause-ms'] ?? 0);
  const first = isStream ? events(0, 2).join('') : FIRST;
  const rest = isStream ? events(2, 4).join('') : REST;
  const type = isStream ? 'text/event-stream' : 'text/plain';
  switch (headers['x-asked']) {
    case 'held':
      return;
    case 'unframed': {
      const { socket } = res;
      const fields = { ...own, 'Content-Type': type, Connection: 'close' };
      const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
      socket.write(`HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n${first}`);
      tell('sent the first part of', request);
      await delay(pauseMs);
      socket.end(rest);
      tell('sent all of', request);
      return;
    }
    case 'paced': {
      // goes on behind the event that the caller has, as a stream that may be resumed does.
      res.writeHead(200, { ...own, 'content-type': type });
      for (let at = Number(headers['last-event-id'] ?? 0) + 1; at <= PACED_EVENTS; at += 1) {
        if (res.destroyed) return;
        res.write(`id: ${at}\ndata: piece ${at} of ${version}\n\n`);
        await delay(PACE_MS);
      }
      res.end();
      tell('sent all of', request);
      return;
    }
    default:
      res.writeHead(200, { ...own, 'content-type': type, 'content-length': (first + rest).length });
      res.write(first);
      tell('sent the first part of', request);
      await delay(pauseMs);
      res.end(rest);
      tell('sent all of', request);
  }
}
