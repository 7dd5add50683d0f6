/** Where the commands write, and how. */

/** Forms in which results are printed. */
export enum OutputFormat {
  TEXT = 'text',
  JSON = 'json',
}

/** Colours of text on a terminal. */
export enum Colour {
  RED = '31',
  GREEN = '32',
  YELLOW = '33',
  FAINT = '2',
}

/** Colours a text, or returns it as it is. */
export type Paint = (colour: Colour, text: string) => string;

/** The streams of a command. */
export interface Terminal {
  /** Writes a result. */
  readonly write: (text: string) => void;
  /** Writes a message for people. */
  readonly writeMessage: (text: string) => void;
  /** Shows progress on one line that the next call replaces; off a terminal: nothing. */
  readonly showProgress: (text: string) => void;
  readonly paint: Paint;
}

/** One output stream of a process. */
export interface OutputStream {
  readonly isTTY?: boolean;
  readonly write: (text: string) => unknown;
}

/** What a terminal is made of. */
export interface TerminalOptions {
  readonly output: OutputStream;
  readonly messages: OutputStream;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

const ESCAPE = '\u001b[';
const CLEAR_LINE = `\r${ESCAPE}K`;

/** Creates a terminal; colours and progress appear only on a real one. */
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
