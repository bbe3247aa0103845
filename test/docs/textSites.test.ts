import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { describe, test } from 'node:test';
import ts from 'typescript';

const ROOTS = ['kernel', 'core', 'gateway', 'mesh', 'store', 'router', 'cli']
  .map((name) => `packages/${name}/src`)
  .concat('platform/src');

/** Functions that throw for a text or a number that no header, URL, status, port or timer can have. */
const THROWING = new Set([
  'encodeURI',
  'encodeURIComponent',
  'request',
  'httpRequest',
  'writeHead',
  'setHeader',
  'appendHeader',
  'connect',
  'createConnection',
  'setTimeout',
]);

const LISTED_ADDRESS = 'the address of a listed server (isServerAddress)';
const OWN_TIMES = 'own times';
const UNSENDABLE = 'what it throws is the fault unsendable';

/** Why no text or number from outside makes the calls in a file throw. */
const CHECKED: Record<string, { calls: Record<string, number>; why: string }> = {
  'packages/cli/src/runtime/status.ts': {
    calls: { 'new URL': 2 },
    why: 'the store leaves out instances whose URL cannot be used; the command ends with its error',
  },
  'packages/gateway/src/node/callerAnswer.ts': {
    calls: { writeHead: 3, setHeader: 1 },
    why: "headers of a parsed answer, whose status judge() has checked, and the instance's own",
  },
  'packages/gateway/src/node/clientLimitLog.ts': { calls: { setTimeout: 1 }, why: OWN_TIMES },
  'packages/gateway/src/node/connectSocket.ts': {
    calls: { connect: 1 },
    why: LISTED_ADDRESS,
  },
  'packages/gateway/src/node/directConnection.ts': {
    calls: { connect: 1 },
    why: LISTED_ADDRESS,
  },
  'packages/gateway/src/node/httpAttempt.ts': {
    calls: { 'new URL': 1, request: 1 },
    why: UNSENDABLE,
  },
  'packages/gateway/src/node/httpHealthCheck.ts': {
    calls: { 'new URL': 1 },
    why: LISTED_ADDRESS,
  },
  'packages/gateway/src/node/pathProbe.ts': {
    calls: { 'new URL': 1 },
    why: LISTED_ADDRESS,
  },
  'packages/gateway/src/node/reopenListener.ts': { calls: { setTimeout: 1 }, why: OWN_TIMES },
  'packages/gateway/src/node/requestFlow.ts': {
    calls: { request: 1 },
    why: 'not the request of node:http',
  },
  'packages/gateway/src/node/serverAgent.ts': {
    calls: { createConnection: 1, setTimeout: 1 },
    why: 'what a server allows is bounded by MAX_IDLE_MS',
  },
  'packages/gateway/src/node/serverAttempt.ts': {
    calls: { 'new URL': 1 },
    why: LISTED_ADDRESS,
  },
  'packages/gateway/src/node/serverPaths.ts': {
    calls: { connect: 1 },
    why: LISTED_ADDRESS,
  },
  'packages/gateway/src/node/serverProcesses.ts': {
    calls: { 'new URL': 1 },
    why: LISTED_ADDRESS,
  },
  'packages/gateway/src/node/statusService.ts': { calls: { writeHead: 2 }, why: 'own texts' },
  'packages/gateway/src/node/watchDuty.ts': {
    calls: { setTimeout: 1 },
    why: 'what a peer asks for is bounded by MAX_WAIT_MS',
  },
  'packages/gateway/src/utils/serverAddress.ts': {
    calls: { 'new URL': 1 },
    why: LISTED_ADDRESS,
  },
  'packages/gateway/src/utils/storedName.ts': {
    calls: { encodeURIComponent: 1 },
    why: 'after the check that a path can carry it',
  },
  'packages/kernel/src/node/clientConnection.ts': {
    calls: { setTimeout: 1 },
    why: 'limits of the settings, and of the configuration (limitSchema)',
  },
  'packages/kernel/src/node/clientConnections.ts': {
    calls: { writeHead: 3, setTimeout: 1 },
    why: 'own texts and times',
  },
  'packages/kernel/src/node/eventLog.ts': { calls: { setTimeout: 1 }, why: OWN_TIMES },
  'packages/kernel/src/node/httpExchange.ts': {
    calls: { request: 1 },
    why: UNSENDABLE,
  },
  'packages/kernel/src/node/lineBatch.ts': { calls: { setTimeout: 1 }, why: OWN_TIMES },
  'packages/kernel/src/node/timeLimit.ts': {
    calls: { setTimeout: 1 },
    why: 'bounded by MAX_DELAY_MS',
  },
  'packages/kernel/src/runtime/backgroundWork.ts': { calls: { setTimeout: 1 }, why: OWN_TIMES },
  'packages/mesh/src/node/directCalls.ts': {
    calls: { writeHead: 1, 'new URL': 1 },
    why: 'own texts, and the URL of a listed instance (isMeshUrl)',
  },
  'packages/mesh/src/node/meshClient.ts': {
    calls: { encodeURIComponent: 1 },
    why: 'an incarnation of a heartbeat; what it throws is an error of the call',
  },
  'packages/mesh/src/node/meshServer.ts': {
    calls: { setTimeout: 1, writeHead: 3 },
    why: 'own texts and times',
  },
  'packages/mesh/src/node/nodeFetch.ts': {
    calls: { 'new URL': 1 },
    why: 'the URL of a listed instance (isMeshUrl); what it throws is an error of the call',
  },
  'packages/mesh/src/node/openTunnel.ts': {
    calls: { 'new URL': 1, connect: 1, request: 1, encodeURIComponent: 1 },
    why: 'the URL of a listed instance (isMeshUrl), and the id of a listed server (isHeaderText)',
  },
  'packages/router/src/node/backends/engineAttempt.ts': {
    calls: { httpRequest: 1, setTimeout: 1 },
    why: 'the URL of a listed instance (wireInstanceSchema)',
  },
  'packages/router/src/node/backends/loadProbe.ts': {
    calls: { 'new URL': 1 },
    why: 'the URL of a listed instance (wireInstanceSchema)',
  },
  'packages/router/src/node/backends/plainAttempt.ts': {
    calls: { setTimeout: 2, httpRequest: 1, 'new URL': 1, connect: 1 },
    why: 'the URL of a listed instance (wireInstanceSchema), and the path of a parsed request',
  },
  'packages/router/src/node/entry/answerWriter.ts': {
    calls: { setHeader: 1, writeHead: 4, setTimeout: 2 },
    why: 'own texts, and the content type of a parsed answer',
  },
  'packages/router/src/node/entry/entryServer.ts': {
    calls: { setTimeout: 1, setHeader: 1, writeHead: 1 },
    why: 'own texts and times',
  },
  'packages/router/src/node/entry/forward.ts': {
    calls: { httpRequest: 2, writeHead: 1, encodeURIComponent: 1 },
    why: 'the URL of a heartbeat, a ticket that was read, and a status that was checked',
  },
  'packages/router/src/node/money/timing.ts': { calls: { setTimeout: 2 }, why: OWN_TIMES },
  'packages/store/src/node/httpObjectStore.ts': {
    calls: { 'new URL': 2, encodeURIComponent: 1 },
    why: 'own names, and paths that a dialect has encoded',
  },
  'packages/store/src/node/objectApiDialect.ts': {
    calls: { 'new URL': 1, encodeURIComponent: 2 },
    why: 'own names (storedName), and versions of digits',
  },
  'packages/store/src/node/recoveryProbe.ts': { calls: { setTimeout: 1 }, why: OWN_TIMES },
  'packages/store/src/node/watchConnection.ts': {
    calls: { request: 1, setTimeout: 1 },
    why: 'own names and times',
  },
  'platform/src/objectsDialect.ts': {
    calls: { 'new URL': 1, encodeURIComponent: 3 },
    why: 'own names (storedName), and versions of digits',
  },
  'platform/src/serverAddressText.ts': {
    calls: { 'new URL': 1 },
    why: 'after the check of its characters',
  },
};

// Guards against a text from outside that reaches a header, a URL or a timer unchecked and ends the process.
describe('calls that throw for odd texts', () => {
  const found = new Map(ROOTS.flatMap(filesIn).map((file) => [file, throwingCalls(file)]));

  for (const [file, calls] of found) {
    if (Object.keys(calls).length === 0) continue;
    test(`${file} has only those whose texts are checked`, () => {
      const message = 'check the text where it is read, and say in CHECKED where that is';
      assert.deepEqual(calls, CHECKED[file]?.calls, message);
    });
  }

  test('are no longer listed once they are gone', () => {
    assert.deepEqual(
      Object.keys(CHECKED).filter((file) => !found.has(file)),
      [],
    );
  });
});

function filesIn(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return filesIn(path);
    return entry.name.endsWith('.ts') ? [path] : [];
  });
}

/** Number of such calls in a file, by the name of the function. */
function throwingCalls(file: string): Record<string, number> {
  const source = ts.createSourceFile(
    file,
    readFileSync(file, 'utf8'),
    ts.ScriptTarget.Latest,
    true,
  );
  const calls: Record<string, number> = {};
  const visit = (node: ts.Node): void => {
    const name = calledName(node);
    if (name !== undefined) calls[name] = (calls[name] ?? 0) + 1;
    ts.forEachChild(node, visit);
  };
  visit(source);
  return calls;
}

function calledName(node: ts.Node): string | undefined {
  if (ts.isNewExpression(node) && node.expression.getText() === 'URL') return 'new URL';
  if (!ts.isCallExpression(node)) return undefined;
  const { expression } = node;
  const name = ts.isPropertyAccessExpression(expression)
    ? expression.name.text
    : expression.getText();
  return THROWING.has(name) ? name : undefined;
}
