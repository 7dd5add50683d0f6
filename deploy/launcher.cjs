/**
 * Runs the bundle next to it (`NAME_main.cjs` runs `NAME_bundle.cjs`) from the
 * code cache written by the build: a restarted process has a fraction of a
 * core, and compilation took as long as all other work before it serves.
 *
 * With `--write-cache` it runs the bundle, which exits because it finds no
 * settings, and writes the cache of the functions compiled until then.
 */
'use strict';
const {readFileSync, writeFileSync} = process.getBuiltinModule('node:fs');
const {Script} = process.getBuiltinModule('node:vm');

const {setFlagsFromString} = process.getBuiltinModule('node:v8');

const WRITE_CACHE = '--write-cache';

const filename = __filename.replace('_main.cjs', '_bundle.cjs');
const cacheFile = `${filename}.cache`;
const isWritingCache = process.argv.includes(WRITE_CACHE);

/** Reads the code cache; without one the program only starts more slowly. */
function readCache() {
  try {
    return readFileSync(cacheFile);
  } catch {
    return undefined;
  }
}

// Compiles all functions for the cache, not only those that run until the exit.
// The flag is reset, since a cache is valid for the flags at its creation only.
if (isWritingCache) setFlagsFromString('--no-lazy');

// The bundle is ASCII: the bundler escapes all other characters.
const script = new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData: isWritingCache ? undefined : readCache(),
});
if (isWritingCache) {
  setFlagsFromString('--lazy');
  process.on('exit', () => {
    writeFileSync(cacheFile, script.createCachedData());
    process.exitCode = 0;
  });
} else if (script.cachedDataRejected) {
  process.stderr.write(
    `${cacheFile} was rejected by Node.js; starting without it\n`,
  );
}
script.runInThisContext()(require, filename);
