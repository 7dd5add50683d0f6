/** What a command tells when it ends. */
import {ExitCode} from './exit_code.js';
import {Colour, OutputFormat} from './terminal.js';
import type {Terminal} from './terminal.js';

/** The result of a command, before it is printed. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  /** For people. */
  readonly text: string;
  /** For programs. */
  readonly document: unknown;
}

/** Creates the verdict of a command that did what it was asked. */
export function createSuccess(text: string, document: unknown): CommandResult {
  return {exitCode: ExitCode.OK, text, document};
}

/** Prints a verdict: results to the output, failures for people to the messages. */
export function printResult(
  result: CommandResult,
  format: OutputFormat,
  terminal: Terminal,
): void {
  if (format === OutputFormat.JSON) {
    terminal.write(JSON.stringify(result.document, undefined, 2));
    return;
  }
  if (result.exitCode === ExitCode.OK) {
    terminal.write(result.text);
    return;
  }
  terminal.writeMessage(terminal.paint(Colour.RED, result.text));
}
