/**
 * Bundles each program of the platform into one file under `target/`. A
 * restarted process has a fraction of a core, and reading some 300 modules one
 * by one took it longer than everything else it does before it serves.
 */
import {mkdirSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild-wasm';
import {parse} from 'yaml';

/**
 * Optional parts of `bunyan` that are not installed, the part of `grpc-js` that
 * reads `.proto` files, and YAML, which prepared files do not need.
 */
const EXTERNAL = [
  'dtrace-provider',
  'mv',
  'safe-json-stringify',
  'source-map-support',
  '@grpc/proto-loader',
  'yaml',
];

/** Packages written as CommonJS expect `require`. */
const BANNER =
  "import{createRequire as createBundleRequire}from'node:module';const require=createBundleRequire(import.meta.url);";

await build({
  entryPoints: ['platform/entry_main.ts', 'platform/agent_main.ts'],
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  external: EXTERNAL,
  banner: {js: BANNER},
});

// The charts as JSON, which is YAML that needs no library to be read.
mkdirSync('target/charts', {recursive: true});
for (const name of readdirSync('charts').filter(file =>
  file.endsWith('.yaml'),
)) {
  const chart = parse(readFileSync(`charts/${name}`, 'utf8'));
  writeFileSync(`target/charts/${name}`, JSON.stringify(chart));
}
