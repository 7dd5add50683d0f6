/** Reads the logs of the programs of a soak. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

/** Which lines to read. */
export interface LogSelection {
  /** Texts of which a line must contain one, as a whole value or before a dot. */
  readonly words: readonly string[];
  /** Time of the lines, in milliseconds since 1970. */
  readonly fromMs: number;
  readonly toMs: number;
  /** Time from which the times in the result count. */
  readonly startMs: number;
}

interface LogLine {
  readonly atMs: number;
  readonly text: string;
}

/** Lists the lines of all logs in a folder that fit, in the order of their time. */
export function readLogLines(
  folder: string,
  {words, fromMs, toMs, startMs}: LogSelection,
): readonly string[] {
  const isFit = (text: string) =>
    words.some(
      word => text.includes(`"${word}"`) || text.includes(`"${word}.`),
    );
  return readdirSync(folder)
    .filter(file => file.endsWith('.log'))
    .flatMap(file =>
      readFileSync(join(folder, file), 'utf8')
        .split('\n')
        .filter(isFit)
        .flatMap(text => parseLine(file.replace('.log', ''), text)),
    )
    .filter(({atMs}) => atMs >= fromMs && atMs <= toMs)
    .sort((a, b) => a.atMs - b.atMs)
    .map(({atMs, text}) => `${Math.round(atMs - startMs)} ms ${text}`);
}

function parseLine(program: string, text: string): LogLine[] {
  try {
    const fields = JSON.parse(text) as {readonly time?: string};
    const atMs = Date.parse(fields.time ?? '');
    return [{atMs, text: `${program} ${text}`}];
  } catch {
    // The last line of a killed process may be incomplete.
    return [];
  }
}
