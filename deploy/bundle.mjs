/**
 * Bundles each program into one file under `target/`, with its code cache (see
 * `deploy/launcher.cjs`) next to it. A restarted process has a fraction of a
 * core; loading about 300 separate modules took longer than all other work
 * before it serves.
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
 * Optional dependencies of `bunyan` that are not installed, the `.proto` loader
 * of `grpc-js`, and YAML, which the charts converted to JSON do not need.
 */
const EXTERNAL = [
  'dtrace-provider',
  'mv',
  'safe-json-stringify',
  'source-map-support',
  '@grpc/proto-loader',
  'yaml',
];

/**
 * Node.js flags of each program, as in `deploy/system.toml`; a code cache is
 * valid for these flags only.
 */
const PROGRAMS = {
  entry: [
    '--max-old-space-size=128',
    '--max-semi-space-size=2',
    '--single-threaded',
  ],
  agent: [
    '--max-old-space-size=96',
    '--max-semi-space-size=2',
    '--single-threaded',
  ],
};

/** Wraps the bundle in a function, which the launcher calls. */
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
  // Identifiers are not minified, to keep stack traces in logs readable.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  external: EXTERNAL,
  define: {'import.meta.url': 'bundleUrl'},
  banner: {js: HEADER},
  footer: {js: FOOTER},
});

// Converts the charts to JSON, which is valid YAML and needs no library.
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
    throw new Error(`Code cache of ${name} was not written.`);
  }
}
