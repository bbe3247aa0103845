// A server sends some of its rejections a second time, late: where the answer to the next request on
// the channel is due. The id in it is that of the earlier request.
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { Server, encode, proof, rejection } from '../lib/server.mjs';
import { Store } from '../lib/store.mjs';
import { call, configuration, runCase } from '../lib/fleet.mjs';

/** Requests that a server works on at once, and those that it queues. */
const SLOTS = 6;
const QUEUE = 3;
const WORK_MS = 30;
/** Largest share of its answers that the faulty server sends twice; the site file has 0.03. */
const DOUBLED_SHARE = 0.03;
/** Spans in which it does so, in ms from the start of traffic; the site file has 5 s. */
const FAULTY_SPANS = [
  [2_000, 7_000],
  [12_000, 17_000],
  [22_000, 27_000],
];
const TRAFFIC_MS = 29_000;
/** Clients come in bursts, so that servers are full for a moment and reject some requests. */
const BURST_EVERY_MS = 250;
const BURST = 40;
const PROMISES = [408, 421, 429, 503];

/** Lets a server work on a few requests at once, queue a few and reject the others. */
function serve(server, c, isFaulty) {
  let running = 0;
  const queue = [];
  const counts = { answers: 0, whileFaulty: 0, doubled: 0 };
  const countAnswer = () => {
    counts.answers += 1;
    if (isFaulty()) counts.whileFaulty += 1;
  };
  /** The rejection that is sent again on a channel. */
  const again = new WeakMap();
  const start = (work) => {
    running += 1;
    work.channel.run(work.request);
    setTimeout(() => {
      running -= 1;
      countAnswer();
      const { request } = work;
      work.channel.raw(encode(200, proof(request), `done ${request.headers['x-request-id']}`));
      const next = queue.shift();
      if (next) start(next);
    }, WORK_MS);
  };
  server.handle = (request, channel) => {
    const late = again.get(channel);
    again.delete(channel);
    if (late) {
      c.log(`server ${server.id} sends the answer to id ${late.headers['x-request-id']} again`);
      channel.raw(rejection(late));
    }
    if (running < SLOTS) start({ request, channel });
    else if (queue.length < QUEUE) queue.push({ request, channel });
    else {
      countAnswer();
      channel.reject(request);
      if (isFaulty() && counts.doubled + 1 <= DOUBLED_SHARE * counts.whileFaulty) {
        counts.doubled += 1;
        again.set(channel, request);
      }
    }
  };
  return counts;
}

await runCase(import.meta.dirname, async (c) => {
  const store = c.closeAtEnd(await new Store().listen());
  let startedAt = Infinity;
  const isFaulty = () => {
    const at = performance.now() - startedAt;
    return c.trouble && FAULTY_SPANS.some(([from, until]) => at >= from && at < until);
  };
  const servers = [];
  const counts = [];
  for (const id of ['i-1', 'i-2', 'i-3']) {
    const server = new Server({ id, service: 'logbok-app', log: c.log });
    servers.push(c.closeAtEnd(await server.listen()));
    counts.push(serve(server, c, () => id === 'i-2' && isFaulty()));
    store.put('servers', id, server.entry());
  }
  store.put('config', 'main', configuration());
  const instance = await c.instance('edge-hall-a-1', store.port);
  await instance.start();
  await delay(2_000);

  const answers = [];
  /** Sends a launch entry; a client comes again once after a promise that it has not run. */
  const client = async (entry) => {
    for (let tries = 0; tries < 2; tries += 1) {
      const got = await call(c, instance, { path: '/launch/entry', body: `entry=${entry}` });
      answers.push(got);
      if (!PROMISES.includes(got.status)) return;
      const seconds = Number(got.headers['retry-after'] ?? 0);
      await delay(1_000 * Math.min(seconds, 0.8));
    }
  };
  startedAt = performance.now();
  const clients = [];
  for (let entry = 0; performance.now() - startedAt < TRAFFIC_MS;) {
    for (let at = 0; at < BURST; at += 1, entry += 1) clients.push(client(entry));
    await delay(BURST_EVERY_MS);
  }
  await Promise.all(clients);
  await delay(500);

  const runs = servers.flatMap((server) => server.runs);
  const runsOf = new Map();
  for (const { id } of runs) runsOf.set(id, (runsOf.get(id) ?? 0) + 1);
  const twice = [...runsOf.values()].filter((count) => count > 1).length;
  const refused = answers.filter(({ id, status }) => PROMISES.includes(status) && runsOf.has(id));
  for (const { id, status } of refused) c.log(`REFUSED broken: id ${id} got ${status} and has run`);
  for (const [id, count] of runsOf)
    if (count > 1) c.log(`TWICE broken: id ${id} ran ${count} times`);
  const entries = new Map();
  for (const { request } of runs) entries.set(request.body, (entries.get(request.body) ?? 0) + 1);
  const doubled = [...entries.values()].filter((count) => count > 1).length;
  const answered = counts.reduce((sum, each) => sum + each.answers, 0);
  const verdict = [
    `${answers.length} requests, ${answered} answers of servers, ${counts[1].doubled} of the ${counts[1].whileFaulty} of server i-2 in its faulty spans sent twice;`,
    `REFUSED: ${refused.length} requests were answered 503 and have run;`,
    `TWICE: ${twice} requests ran more than once;`,
    `launch entries recorded more than once: ${doubled}`,
  ].join(' ');
  return { broken: refused.length + twice > 0, verdict };
});
