/**
 * Bundles each program of the platform into one file under `target/`. A
 * restarted process has a fraction of a core, and reading some 300 modules one
 * by one took it longer than everything else it does before it serves. Beside
 * each bundle lies its code cache (`deploy/launcher.cjs`).
 */
import {spawnSync} from 'node:child_process';
import {
  copyFileSync,
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
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

/** The programs, with the flags of `deploy/system.toml`: a code cache fits just these. */
const PROGRAMS = {
  entry: ['--max-old-space-size=128', '--max-semi-space-size=2'],
  agent: ['--max-old-space-size=96', '--max-semi-space-size=2'],
};

/** The launcher calls the bundle as a function. */
const HEADER =
  "(function(require,bundleFile){const bundleUrl=require('node:url').pathToFileURL(bundleFile).href;";
const FOOTER = '})';

await build({
  entryPoints: {
    entry_bundle: 'platform/entry_main.ts',
    agent_bundle: 'platform/agent_main.ts',
  },
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Names stay, so that stack traces in logs can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  external: EXTERNAL,
  define: {'import.meta.url': 'bundleUrl'},
  banner: {js: HEADER},
  footer: {js: FOOTER},
});

// The charts as JSON, which is YAML that needs no library to be read.
mkdirSync('target/charts', {recursive: true});
for (const name of readdirSync('charts').filter(file =>
  file.endsWith('.yaml'),
)) {
  const chart = parse(readFileSync(`charts/${name}`, 'utf8'));
  writeFileSync(`target/charts/${name}`, JSON.stringify(chart));
}

for (const [name, flags] of Object.entries(PROGRAMS)) {
  const launcher = `target/${name}_main.cjs`;
  copyFileSync('deploy/launcher.cjs', launcher);
  spawnSync(process.execPath, [...flags, launcher, '--write-cache'], {
    stdio: ['ignore', 'ignore', 'ignore'],
    env: {},
  });
  if (!existsSync(`target/${name}_bundle.cjs.cache`)) {
    throw new Error(`The code cache of ${name} was not written.`);
  }
}
