// Bundles the process that runs on the users' machines into one file, and compiles it in advance. Loading
// the modules one by one would take more CPU time than anything else in the first second after a restart.
import { execFileSync } from 'node:child_process';
import { copyFileSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

/** Flags of the run command; V8 accepts compiled code only under the flags with which it was written. */
const NODE_FLAGS = ['--max-old-space-size=64'];

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/bundle.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  charset: 'ascii',
  minifyWhitespace: true,
  conditions: ['@flamingocourse/source'],
  // The UMD build of jsonc-parser loads its modules in a way that esbuild cannot bundle.
  alias: { 'jsonc-parser': './node_modules/jsonc-parser/lib/esm/main.js' },
  logLevel: 'warning',
});
copyFileSync('scripts/launcher.cjs', 'target/flamingocourse.cjs');
rmSync('target/bundle.cache', { force: true });
const env = { ...process.env };
delete env.FLAMINGOCOURSE_CONFIG;
execFileSync(process.execPath, [...NODE_FLAGS, 'scripts/writeCodeCache.cjs'], {
  env,
  stdio: 'pipe',
});
