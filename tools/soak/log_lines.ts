/** Reads the logs of the programs of a soak. */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {FleetEvent} from '../../src/lib/observe/fleet_log.js';

/** Which lines to read. */
export interface LogSelection {
  /** Texts of which a line must contain one, as a whole value or before a dot. */
  readonly words: readonly string[];
  /** Time of the lines, in milliseconds since `startMs`. */
  readonly fromMs: number;
  readonly toMs: number;
  /** Time from which the times count, in milliseconds since 1970. */
  readonly startMs: number;
}

interface LogLine {
  readonly atMs: number;
  readonly text: string;
}

/** Fields that are the same in all lines of a program, or shown otherwise. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set([
  ...['name', 'process', 'dataCentre', 'hostname', 'pid', 'level', 'v'],
  ...['time', 'msg', 'request', 'queue'],
]);

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
        .flatMap(text => parseLine(file.replace('.log', ''), text, startMs)),
    )
    .filter(({atMs}) => atMs >= fromMs && atMs <= toMs)
    .sort((a, b) => a.atMs - b.atMs)
    .map(({atMs, text}) => `${atMs} ms ${text}`);
}

function parseLine(program: string, text: string, startMs: number): LogLine[] {
  let fields: Readonly<Record<string, unknown>>;
  try {
    fields = JSON.parse(text);
  } catch {
    // The last line of a killed process may be incomplete.
    return [];
  }
  if (fields.event === FleetEvent.STATUS) return [];
  const atMs = Math.round(Date.parse(String(fields.time)) - startMs);
  const shown = Object.entries(fields)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return [{atMs, text: `${program} ${shown.join(' ')}`}];
}
