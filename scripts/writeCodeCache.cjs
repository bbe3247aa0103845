// Runs the bundle without settings, which loads all of its modules, and writes the compiled code.
'use strict';

const { writeFileSync } = require('node:fs');
const { cacheFile, compile, run } = require('../target/flamingocourse.cjs');

const script = compile();
process.on('exit', () => {
  writeFileSync(cacheFile, script.createCachedData());
  // the exit code for missing settings does not matter here.
  process.exitCode = 0;
});
run(script);
