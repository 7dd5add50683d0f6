#!/usr/bin/env node
/** The `foxtailbay` command-line tool for operators and callers. */
import {randomBytes} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import {readMonotonicMs, startTimer} from './lib/core/clock.js';
import {UsageError} from './lib/core/errors.js';
import {runCommandLine} from './lib/cli/command_line.js';
import {createHttpClient} from './lib/cli/http_client.js';
import {createTerminal} from './lib/cli/terminal.js';

const ID_BYTES = 12;
const STANDARD_INPUT = 0;

const client = createHttpClient();
process.exitCode = await runCommandLine(process.argv.slice(2), readVersion(), {
  send: client.send,
  terminal: createTerminal({
    output: process.stdout,
    messages: process.stderr,
    environment: process.env,
  }),
  readFile: readInput,
  startTimer,
  readMonotonicMs,
  createId: () => randomBytes(ID_BYTES).toString('base64url'),
  environment: process.env,
  userName: readUserName(),
});
await client.close();

function readVersion(): string {
  const file = new URL('../../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as {version: string}).version;
}

function readInput(path: string): string {
  try {
    return readFileSync(path === '-' ? STANDARD_INPUT : path, 'utf8');
  } catch (cause) {
    throw new UsageError(`File ${path} cannot be read.`, {cause});
  }
}

/** Returns the user's name; a process may run under a user id without one. */
function readUserName(): string {
  try {
    return userInfo().username;
  } catch {
    return 'unnamed';
  }
}
