/** The result of a command and how it is printed. */
import {ExitCode} from './exit_code.js';
import {Colour, OutputFormat} from './terminal.js';
import type {Terminal} from './terminal.js';

/** Result of a command: the exit code, and the output in each format. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  /** Printed in the text format. */
  readonly text: string;
  /** Printed in the JSON format. */
  readonly document: unknown;
}

/** Creates the result of a command that succeeded. */
export function createSuccess(text: string, document: unknown): CommandResult {
  return {exitCode: ExitCode.OK, text, document};
}

/**
 * Prints a result to the output. In the text format, failures go to the
 * messages instead.
 */
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
