/** Output of the commands: results, messages, progress and colours. */

/** Formats in which results are printed. */
export enum OutputFormat {
  TEXT = 'text',
  JSON = 'json',
}

/** ANSI codes of the text styles used on a terminal. */
export enum Colour {
  RED = '31',
  GREEN = '32',
  YELLOW = '33',
  FAINT = '2',
}

/** Colours a text, or returns it unchanged if colours are off. */
export type Paint = (colour: Colour, text: string) => string;

/** Writes results, messages and progress of a command. */
export interface Terminal {
  /** Writes a result to standard output. */
  readonly write: (text: string) => void;
  /** Writes a message to standard error. */
  readonly writeMessage: (text: string) => void;
  /**
   * Shows progress on a line that the next output replaces; does nothing if
   * messages do not go to a terminal.
   */
  readonly showProgress: (text: string) => void;
  readonly paint: Paint;
}

/** One output stream of a process. */
export interface OutputStream {
  readonly isTTY?: boolean;
  readonly write: (text: string) => unknown;
}

/** Streams and environment that a terminal is created from. */
export interface TerminalOptions {
  readonly output: OutputStream;
  readonly messages: OutputStream;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

const ESCAPE = '\u001b[';
const CLEAR_LINE = `\r${ESCAPE}K`;

/**
 * Creates a terminal. Colours and progress are shown only on a TTY that
 * supports them.
 */
export function createTerminal(options: TerminalOptions): Terminal {
  const {output, messages, environment} = options;
  const isColoured =
    output.isTTY === true &&
    !environment.NO_COLOR &&
    environment.TERM !== 'dumb';
  const isProgressShown =
    messages.isTTY === true && environment.TERM !== 'dumb';
  let hasProgress = false;
  const clearProgress = () => {
    if (hasProgress) messages.write(CLEAR_LINE);
    hasProgress = false;
  };
  return {
    write: text => {
      clearProgress();
      output.write(endLine(text));
    },
    writeMessage: text => {
      clearProgress();
      messages.write(endLine(text));
    },
    showProgress: text => {
      if (!isProgressShown) return;
      hasProgress = true;
      messages.write(CLEAR_LINE + text);
    },
    paint: isColoured
      ? (colour, text) => `${ESCAPE}${colour}m${text}${ESCAPE}0m`
      : (_colour, text) => text,
  };
}

function endLine(text: string): string {
  return text === '' || text.endsWith('\n') ? text : `${text}\n`;
}
