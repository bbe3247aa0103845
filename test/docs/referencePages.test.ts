import { listSettings, parseSettings, settingsDefaults } from '@flamingocourse/router';
import { renderPages, renderRow } from './renderPages.js';
import assert from 'node:assert/strict';
import { guardNames } from '@flamingocourse/core';
import { exitCodes } from '@flamingocourse/cli';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

const remedy =
  'Run: node --conditions=@flamingocourse/source --import=tsx scripts/writeCatalogues.mjs';

function readPage(file: string): string {
  return readFileSync(new URL(`../../docs/${file}`, import.meta.url), 'utf8');
}

/** Table rows without the padding that the formatter adds. */
function tableLines(text: string): string[] {
  const lines = text.split('\n').filter((line) => line.startsWith('|'));
  return lines.map((line) => line.replace(/\s+/g, ' ').replaceAll('| |', '|  |')).slice(2);
}

for (const page of renderPages()) {
  test(`${page.file} lists exactly what the code defines`, () => {
    const squeeze = (line: string): string => line.replace(/\s+/g, ' ').replaceAll('| |', '|  |');
    const expected = page.rows.map((row) => squeeze(renderRow(row)));
    const written = tableLines(readPage(page.file));
    const missing = expected.filter((line) => !written.includes(line));
    const stale = written.filter((line) => !expected.includes(line));
    assert.deepEqual({ missing, stale }, { missing: [], stale: [] }, `${page.file}: ${remedy}`);
  });
}

test('every default of the constant is a setting with that default', () => {
  const listed = new Map(listSettings().map(({ path, defaultJson }) => [path, defaultJson]));
  for (const [key, value] of Object.entries(settingsDefaults)) {
    const leaves = typeof value === 'object' ? Object.entries(value) : [['', value] as const];
    for (const [leaf, expected] of leaves) {
      const path = leaf === '' ? key : `${key}.${leaf}`;
      assert.equal(listed.get(path), JSON.stringify(expected), path);
    }
  }
});

test('the shortest settings file of the page is valid', () => {
  const [, sample] = /```jsonc\n([^`]*)```/.exec(readPage('SETTINGS.md')) ?? [];
  const settings = parseSettings(sample ?? '', 'SETTINGS.md');
  assert.ok(settings.isOk, settings.isErr ? settings.error.message : '');
});

test('event numbers are unique', () => {
  const events = renderPages().find(({ file }) => file === 'EVENTS.md');
  const numbers = events?.rows.map(([number]) => number) ?? [];
  assert.equal(new Set(numbers).size, numbers.length);
});

test('the page for operators explains every guard rail and exit code', () => {
  const page = readPage('OPERATORS.md');
  const absent = [
    ...guardNames.filter((guard) => !page.includes(`\`${guard}\``)),
    ...Object.values(exitCodes).filter((code) => !new RegExp(`^\\| ${code} +\\|`, 'm').test(page)),
  ];
  assert.deepEqual(absent, []);
});
