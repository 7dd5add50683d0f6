import {expect} from 'chai';
import type {CommandContext} from '../../src/lib/cli/command_context.js';
import {runCommandLine} from '../../src/lib/cli/command_line.js';
import type {ExitCode} from '../../src/lib/cli/exit_code.js';
import {ReplyKind} from '../../src/lib/cli/http_exchange.js';
import type {
  HttpReply,
  HttpRequest,
  SendRequest,
} from '../../src/lib/cli/http_exchange.js';
import {createTerminal} from '../../src/lib/cli/terminal.js';

/** Exit code, output and requests of a command. */
export interface CommandRun {
  readonly exitCode: ExitCode;
  readonly output: string;
  readonly messages: string;
  readonly requests: readonly HttpRequest[];
}

/** Scripted replies by `METHOD path`, without the base URL; a list is replied in order. */
export type Replies = Readonly<Record<string, HttpReply | HttpReply[]>>;

/** Options of a run besides its command-line arguments. */
export interface RunOptions {
  readonly replies?: Replies;
  readonly files?: Readonly<Record<string, string>>;
  readonly environment?: Readonly<Record<string, string>>;
  /** Value of each created identifier. */
  readonly createdId?: string;
  /** Replaces the scripted replies. */
  readonly send?: SendRequest;
}

/** Creates a complete response. */
export function createResponse(
  status: number,
  document: unknown,
  headers: Readonly<Record<string, string>> = {},
): HttpReply {
  return {kind: ReplyKind.ANSWERED, status, headers, document};
}

/** Creates the reply to a request that got no response. */
export function createFailure(
  kind: ReplyKind.LOST | ReplyKind.NOT_SENT,
): HttpReply {
  return {kind, url: 'http://host', reason: 'no luck'};
}

/** Runs the command line against scripted replies; timers fire immediately. */
export async function runFoxtailbay(
  words: readonly string[],
  options: RunOptions = {},
): Promise<CommandRun> {
  const {replies = {}, files = {}, environment = {}, send} = options;
  const requests: HttpRequest[] = [];
  const texts = {output: '', messages: ''};
  const context: CommandContext = {
    send: async request => {
      requests.push(request);
      return send === undefined
        ? selectReply(replies, request, requests)
        : send(request);
    },
    terminal: createTerminal({
      output: {write: text => (texts.output += text)},
      messages: {write: text => (texts.messages += text)},
      environment: {},
    }),
    readFile: path => files[path] ?? expect.fail(`no file ${path}`),
    startTimer: (_delayMs, fire) => {
      const handle = setImmediate(fire);
      return () => clearImmediate(handle);
    },
    readMonotonicMs: () => requests.length * 1000,
    createId: () => options.createdId ?? 'drawn',
    environment,
    userName: 'ngoc',
  };
  const exitCode = await runCommandLine(words, '1.2.3', context);
  return {exitCode, ...texts, requests};
}

/** Further requests get the last reply of the list again. */
function selectReply(
  replies: Replies,
  request: HttpRequest,
  requests: readonly HttpRequest[],
): HttpReply {
  const name = nameRequest(request);
  const count = requests.filter(one => nameRequest(one) === name).length;
  const list = replies[name];
  if (list === undefined) return expect.fail(`no reply to ${name}`);
  if (!Array.isArray(list)) return list;
  return list[Math.min(count, list.length) - 1];
}

function nameRequest({method, url}: HttpRequest): string {
  return `${method} ${url.replace(/^https?:\/\/[^/]*/, '')}`;
}
