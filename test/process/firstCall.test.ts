import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { runDemo } from '@flamingocourse/lab';
import { buildOnce, createDirectory, SEED } from './fixtures/processStage.js';

interface CurlCall {
  url: string;
  headers: Record<string, string>;
  body: string;
}

/** Parses the first curl command of a page and substitutes the variables that the demo printed. */
async function readCurl(page: string, exported: Map<string, string>): Promise<CurlCall> {
  const text = await readFile(new URL(`../../${page}`, import.meta.url), 'utf8');
  const template = /^curl [\s\S]*?\n```$/m.exec(text)?.[0] ?? '';
  const command = template.replaceAll(
    /\$([A-Z_]+)/g,
    (_, name: string) => exported.get(name) ?? '',
  );
  const headers = [...command.matchAll(/-H ['"]([^:]+): ([^'"]+)['"]/g)];
  return {
    url: /https?:\/\/\S+/.exec(command)?.[0] ?? '',
    headers: Object.fromEntries(headers.map(([, name = '', value = '']) => [name, value])),
    body: /-d '([^']+)'/.exec(command)?.[1] ?? '',
  };
}

// Guards against outdated curl commands in the docs. They name an account, a class and a model of the
// examples; if one of these is renamed in the examples, a new user's first call is refused.
test('the curl commands of README.md and CALLERS.md get an answer from the demo', async (t) => {
  buildOnce();
  const abort = new AbortController();
  const results: unknown[] = [];
  const exported = new Map<string, string>();
  const call = async (): Promise<void> => {
    for (const page of ['README.md', 'docs/CALLERS.md']) {
      const { url, headers, body } = await readCurl(page, exported);
      const res = await fetch(url, { method: 'POST', headers, body });
      const answer = (await res.json()) as { choices?: { message: { content: string } }[] };
      const content = answer.choices?.[0]?.message.content ?? '';
      results.push({ page, status: res.status, answered: content !== '' });
    }
  };
  await runDemo({
    deployment: 'tsagaan-deel',
    seconds: 1,
    ratePerSecond: 10,
    seed: SEED,
    keep: true,
    directory: await createDirectory(t),
    signal: abort.signal,
    onProgress: (line) => {
      for (const [, name = '', value = ''] of line.matchAll(/\b([A-Z_]+)=(\S+)/g)) {
        exported.set(name, value);
      }
      if (!line.startsWith('running on')) return;
      void call().finally(() => {
        abort.abort();
      });
    },
  });
  assert.deepEqual(results, [
    { page: 'README.md', status: 200, answered: true },
    { page: 'docs/CALLERS.md', status: 200, answered: true },
  ]);
});
