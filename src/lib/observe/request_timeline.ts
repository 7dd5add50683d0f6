/** The story of one request, put together from the logs of several processes. */

/** One line of a log, as far as a story needs it. */
export interface LogLine {
  readonly process: string;
  readonly event: string;
  readonly message: string;
  /** Wall clock of the process at which the thing came about, in milliseconds. */
  readonly atMs: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A line in its place, with the time since the story's first line. */
export interface TimelineEvent extends LogLine {
  readonly sinceMs: number;
}

/** Fields that name the request or the line, and so need not be told. */
const TOLD_ELSEWHERE = new Set([
  'name',
  'process',
  'incarnation',
  'dataCentre',
  'hostname',
  'pid',
  'level',
  'event',
  'msg',
  'time',
  'v',
  'agoMs',
  'job',
  'request',
]);

/**
 * Reads the lines that speak of a job or a request. Text before the JSON of a
 * line is passed over, and so is what is no line of ours.
 */
export function readTimeline(
  texts: readonly string[],
  id: string,
): readonly TimelineEvent[] {
  const lines = texts
    .flatMap(text => text.split('\n'))
    .filter(line => line.includes(id))
    .flatMap(readLine);
  const jobs = new Set(
    lines
      .filter(({fields}) => fields.job === id || fields.request === id)
      .map(({fields}) => fields.job),
  );
  const told = lines.filter(({fields}) => jobs.has(fields.job));
  return orderLines(told);
}

function readLine(line: string): LogLine[] {
  const start = line.indexOf('{');
  if (start < 0) return [];
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // Cut off, or another program's.
    return [];
  }
  const {process, event, msg, time, agoMs} = fields;
  const wallMs = Date.parse(String(time));
  if (typeof event !== 'string' || Number.isNaN(wallMs)) return [];
  return [
    {
      process: String(process),
      event,
      message: String(msg),
      atMs: wallMs - (typeof agoMs === 'number' ? agoMs : 0),
      fields,
    },
  ];
}

/**
 * Puts lines in order although the clocks of hosts differ: the process that
 * admitted the job sets the time, and the clock of each other one is moved by
 * as little as it takes for its runs to begin after they were placed.
 */
function orderLines(lines: readonly LogLine[]): readonly TimelineEvent[] {
  const placed = new Map<string, number>();
  for (const line of lines) {
    if (line.event === 'task-placed') placed.set(nameRun(line), line.atMs);
  }
  const shifts = new Map<string, number>();
  for (const line of lines) {
    const placedAtMs = placed.get(nameRun(line));
    if (placedAtMs === undefined || !isOfRun(line)) continue;
    const shift = Math.max(0, placedAtMs - line.atMs);
    const known = shifts.get(line.process) ?? 0;
    shifts.set(line.process, Math.max(known, shift));
  }
  const moved = lines
    .map(line => ({...line, atMs: line.atMs + (shifts.get(line.process) ?? 0)}))
    .sort((a, b) => a.atMs - b.atMs || Number(isOfRun(a)) - Number(isOfRun(b)));
  const [first] = moved;
  return moved.map(line => ({...line, sinceMs: line.atMs - first.atMs}));
}

function isOfRun({event}: LogLine): boolean {
  return event.startsWith('run-');
}

function nameRun({fields}: LogLine): string {
  return `${String(fields.task)}#${String(fields.run)}`;
}

/** Words for an event, and for what it says of the request's fate. */
const EVENT_WORDS: Readonly<Record<string, string>> = {
  'job-admitted': 'took the job',
  'job-refused': 'refused the job before anything of it ran',
  'job-ended': 'ended the job',
  'caller-gone': 'saw the caller go',
  'task-placed': 'gave a task to an agent',
  'task-recalled': 'took a task back from a slow target',
  'run-started': 'saw the run begin on its target',
  'run-stopped': 'stopped the run',
  'run-ended': 'saw the run end',
  'order-failed': 'got no good answer to an order',
  'request-rejected': 'did not take the request',
};

/** Prints a story, one event a line. */
export function printTimeline(story: readonly TimelineEvent[]): string {
  return story
    .map(({sinceMs, process, event, message, fields}) => {
      const words = EVENT_WORDS[event] ?? event;
      const details = Object.entries(fields)
        .filter(([name]) => !TOLD_ELSEWHERE.has(name))
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(' ');
      const time = `${Math.round(sinceMs)} ms`.padStart(9);
      return `${time}  ${process} ${words}. ${message} ${details}`.trimEnd();
    })
    .join('\n');
}
