/** Timestamped log of a scenario run. */
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';

/** A line of a timeline; `atMs` is relative to its creation. */
export interface TimelineLine {
  readonly atMs: number;
  readonly text: string;
}

/** Function that adds a line to a timeline. */
export type WriteLine = (text: string) => void;

/** Log whose lines carry the time since its creation. */
export class Timeline {
  readonly lines: TimelineLine[] = [];
  private readonly startedAtMs: number;

  private constructor(
    private readonly readMs: ReadMonotonicMs,
    private readonly show: (line: string) => void,
  ) {
    this.startedAtMs = readMs();
  }

  /** Creates an empty timeline; `show` is called with each formatted line. */
  static create(
    readMs: ReadMonotonicMs,
    show: (line: string) => void = () => undefined,
  ): Timeline {
    return new Timeline(readMs, show);
  }

  /** Adds a line with the current time and shows it. */
  readonly write: WriteLine = text => {
    const line = {atMs: this.readMs() - this.startedAtMs, text};
    this.lines.push(line);
    this.show(formatLine(line));
  };
}

/** Formats a line with its time in seconds, to the millisecond. */
export function formatLine(line: TimelineLine): string {
  const seconds = (line.atMs / 1000).toFixed(3).padStart(8);
  return `${seconds} s  ${line.text}`;
}
