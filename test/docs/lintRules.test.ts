import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ESLint } from 'eslint';

/** A file of the product whose text the cases replace. */
const FILE = 'packages/gateway/src/runtime/homes.ts';

const declarations = [
  'declare const table: Record<string, number>;',
  'declare const name: string;',
  'declare const work: () => Promise<void>;',
  'declare const z: { record: (...of: unknown[]) => unknown };',
].join('\n');

// Guards against a rule that no longer finds what ended processes.
describe('the linter', () => {
  const cases = [
    { code: 'export const found = table[name];', rule: 'local/no-name-index' },
    { code: 'table[name] = 1;', rule: 'local/no-name-index' },
    { code: 'export const found = name in table;', rule: 'local/no-name-index' },
    { code: 'export const { [name]: found } = table;', rule: 'local/no-name-index' },
    { code: 'export const schema = z.record();', rule: 'no-restricted-syntax' },
    { code: 'export const text = decodeURIComponent(name);', rule: 'no-restricted-syntax' },
    { code: 'void work();', rule: 'no-restricted-syntax' },
    { code: 'work().catch(() => undefined);', rule: 'no-restricted-syntax' },
    { code: 'work();', rule: '@typescript-eslint/no-floating-promises' },
    { code: 'setInterval(() => undefined, 1);', rule: 'no-restricted-globals' },
    { code: "export const found = table['kirk'];", rule: undefined },
    { code: 'export const found = [1, 2][Number(name)];', rule: undefined },
  ];
  // where CI is set, the types would be those of the file on disk, not those of the text.
  const eslint = new ESLint({
    overrideConfig: {
      languageOptions: { parserOptions: { disallowAutomaticSingleRunInference: true } },
    },
  });
  for (const { code, rule } of cases) {
    test(`${rule === undefined ? 'accepts' : 'refuses'} ${code}`, async () => {
      const [result] = await eslint.lintText(`${declarations}\n${code}\n`, { filePath: FILE });
      const rules = (result?.messages ?? []).map(({ ruleId }) => ruleId);
      if (rule !== undefined) assert.ok(rules.includes(rule), String(rules));
      else assert.ok(!rules.includes('local/no-name-index'), String(rules));
    });
  }
});
