// Starts the bundle from compiled code. Compiling it takes longer than anything else in the first second
// of a process that has a fraction of a processor.
'use strict';

const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const file = join(__dirname, 'bundle.cjs');
const cacheFile = join(__dirname, 'bundle.cache');

/** Compiles the bundle; V8 ignores a cache of another version, other flags or another source. */
function compile() {
  // the bundle is ASCII, so that V8 keeps one byte for each character.
  const source = readFileSync(file, 'latin1');
  const wrapped = `(function (require, module, exports) {${source}\n})`;
  const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
  return new Script(wrapped, { filename: file, cachedData });
}

/** Runs a compiled bundle; returns at once, while its process goes on. */
function run(script) {
  const module = { exports: {} };
  script.runInThisContext()(require, module, module.exports);
}

if (require.main === module) run(compile());

module.exports = { cacheFile, compile, run };
