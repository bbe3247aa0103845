// bundles the process for the users' machines into one file: loading its modules one by one costs a
// restarted process more processor time than anything else it does in its first second.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/flamingocourse.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  conditions: ['@flamingocourse/source'],
  // CommonJS modules in the bundle call require() for Node's own modules.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  // the UMD build of jsonc-parser loads its parts in a way that can't be bundled.
  alias: { 'jsonc-parser': './node_modules/jsonc-parser/lib/esm/main.js' },
  logLevel: 'warning',
});
