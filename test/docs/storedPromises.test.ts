import assert from 'node:assert/strict';
import { relative } from 'node:path';
import { test } from 'node:test';
import ts from 'typescript';

const ROOTS = /^(?:packages\/(?:kernel|core|gateway|mesh|store|router)|platform)\/src\//;

/** Files that store a promise before they await it, and why none of them can be rejected unhandled. */
const STORED: Record<string, { count: number; why: string }> = {
  'packages/gateway/src/node/callerConnections.ts': { count: 2, why: 'never rejected' },
  'packages/gateway/src/node/entryService.ts': { count: 1, why: 'raced at once' },
  'packages/gateway/src/node/fleetConditionsService.ts': { count: 1, why: 'awaited at once' },
  'packages/gateway/src/node/instanceDirectory.ts': { count: 1, why: 'has a handler' },
  'packages/gateway/src/node/loanTokens.ts': { count: 1, why: 'raced at once' },
  'packages/gateway/src/node/serverAgent.ts': { count: 1, why: 'background work' },
  'packages/gateway/src/node/serverPaths.ts': { count: 2, why: 'raced at once, or fulfilled' },
  'packages/gateway/src/node/softwareRecords.ts': { count: 4, why: 'awaited or raced at once' },
  'packages/gateway/src/node/storeRelay.ts': { count: 1, why: 'returned' },
  'packages/gateway/src/node/storeTokens.ts': { count: 2, why: 'awaited or raced at once' },
  'packages/gateway/src/node/streamInquiry.ts': { count: 1, why: 'awaited by Promise.any at once' },
  'packages/gateway/src/node/streamOrigins.ts': { count: 1, why: 'background work' },
  'packages/gateway/src/node/streamRecordSender.ts': { count: 1, why: 'background work' },
  'packages/kernel/src/node/readRequestBody.ts': { count: 1, why: 'never rejected' },
  'packages/kernel/src/runtime/sharedReads.ts': { count: 2, why: 'awaited by whoever reads' },
  'packages/router/src/node/backends/backendService.ts': { count: 1, why: 'awaited at once' },
  'packages/router/src/node/entry/answerWriter.ts': { count: 2, why: 'raced at once' },
  'packages/router/src/node/entry/entryServer.ts': { count: 2, why: 'never rejected' },
  'packages/router/src/node/entry/executor.ts': { count: 1, why: 'background work' },
  'packages/router/src/node/entry/requestRunner.ts': { count: 3, why: 'awaited or raced at once' },
  'packages/router/src/node/fleet/configurationService.ts': { count: 1, why: 'has a handler' },
  'packages/router/src/node/fleet/fleetService.ts': { count: 1, why: 'has a handler' },
  'packages/router/src/node/money/ledgerSync.ts': {
    count: 3,
    why: 'awaited by whoever started it',
  },
  'packages/router/src/node/money/moneyParts.ts': { count: 1, why: 'awaited at once' },
  'packages/router/src/node/money/moneyService.ts': { count: 2, why: 'has a handler, or awaited' },
  'packages/router/src/node/money/timing.ts': { count: 1, why: 'never rejected' },
  'packages/router/src/node/money/witnessStore.ts': { count: 1, why: 'awaited at once' },
};

// Guards against work that is started ahead, fails before it is awaited and ends the process.
test('each promise that is stored has somebody who handles its rejection', () => {
  const config = ts.getParsedCommandLineOfConfigFile(
    'tsconfig.test.json',
    {},
    {
      ...ts.sys,
      onUnRecoverableConfigFileDiagnostic: () => undefined,
    },
  );
  assert.ok(config);
  const program = ts.createProgram(config.fileNames, config.options);
  const found: Record<string, number> = {};
  for (const source of program.getSourceFiles()) {
    const file = relative('.', source.fileName);
    const count = ROOTS.test(file) ? storedPromises(source, program.getTypeChecker()) : 0;
    if (count > 0) found[file] = count;
  }
  const expected = Object.fromEntries(
    Object.entries(STORED).map(([file, { count }]) => [file, count]),
  );
  assert.deepEqual(found, expected, 'say in STORED who handles the rejection');
});

/** Number of variables and fields that get a promise that is not awaited there. */
function storedPromises(source: ts.SourceFile, checker: ts.TypeChecker): number {
  let count = 0;
  const visit = (node: ts.Node): void => {
    const value = storedValue(node);
    if (value && isPromise(value, checker)) count += 1;
    ts.forEachChild(node, visit);
  };
  visit(source);
  return count;
}

function storedValue(node: ts.Node): ts.Expression | undefined {
  if (ts.isVariableDeclaration(node)) return node.initializer;
  const isAssignment =
    ts.isBinaryExpression(node) && node.operatorToken.kind === ts.SyntaxKind.EqualsToken;
  return isAssignment ? node.right : undefined;
}

/** Whether a value is a promise, an array of promises or an optional promise. */
function isPromise(value: ts.Expression, checker: ts.TypeChecker): boolean {
  const text = checker.typeToString(checker.getTypeAtLocation(value));
  return /^\(?Promise<|PlatformResult</.test(text);
}
