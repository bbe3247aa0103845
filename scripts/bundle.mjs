// Bundles the process that runs on the users' machines into one file. Loading the modules one by one
// would take more CPU time than anything else in the first second after a restart.
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
  // The UMD build of jsonc-parser loads its modules in a way that esbuild cannot bundle.
  alias: { 'jsonc-parser': './node_modules/jsonc-parser/lib/esm/main.js' },
  logLevel: 'warning',
});
