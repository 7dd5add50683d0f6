/**
 * Runs the bundle beside it (`NAME_main.cjs` runs `NAME_bundle.cjs`) from the
 * code cache that the build has left: a restarted process has a fraction of a
 * core, and compiling took it as long as all else before it serves.
 *
 * With `--write-cache` it runs the bundle, which ends for want of settings, and
 * leaves the cache of what was compiled for that.
 */
'use strict';
const {readFileSync, writeFileSync} = process.getBuiltinModule('node:fs');
const {Script} = process.getBuiltinModule('node:vm');

const WRITE_CACHE = '--write-cache';

const filename = __filename.replace('_main.cjs', '_bundle.cjs');
const cacheFile = `${filename}.cache`;
const isWriting = process.argv.includes(WRITE_CACHE);

/** Without a cache the program only starts more slowly. */
function readCache() {
  try {
    return readFileSync(cacheFile);
  } catch {
    return undefined;
  }
}

// The bundle is ASCII, as the bundler escapes all else.
const script = new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData: isWriting ? undefined : readCache(),
});
if (isWriting) {
  process.on('exit', () => {
    writeFileSync(cacheFile, script.createCachedData());
    process.exitCode = 0;
  });
} else if (script.cachedDataRejected) {
  process.stderr.write(`${cacheFile} does not fit this Node.js\n`);
}
script.runInThisContext()(require, filename);
