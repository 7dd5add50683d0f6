/** Timeline of one request, merged from the logs of several processes. */

/** A parsed log line. */
export interface LogLine {
  readonly process: string;
  readonly event: string;
  readonly message: string;
  /** Time of the event by the process's wall clock, in milliseconds. */
  readonly atMs: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A log line with the time in milliseconds since the first line of the timeline. */
export interface TimelineEvent extends LogLine {
  readonly sinceMs: number;
}

/** Fields that identify the process, the request or the line; not printed as details. */
const OMITTED_FIELDS = new Set([
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
 * Reads the log lines of a job or a request, in order. Text before the JSON
 * object of a line is skipped, and so are lines of other programs.
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
  const selected = lines.filter(({fields}) => jobs.has(fields.job));
  return orderLines(selected);
}

function readLine(line: string): LogLine[] {
  const start = line.indexOf('{');
  if (start < 0) return [];
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // A truncated line, or a line of another program.
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
 * Sorts lines by time and corrects the clock skew between hosts. The clock of the
 * process that admitted the job is the reference; the times of every other
 * process are shifted by the least amount that lets its runs begin after their
 * placement.
 */
function orderLines(lines: readonly LogLine[]): readonly TimelineEvent[] {
  const placed = new Map<string, number>();
  for (const line of lines) {
    if (line.event === 'task-placed') placed.set(formatRunKey(line), line.atMs);
  }
  const shifts = new Map<string, number>();
  for (const line of lines) {
    const placedAtMs = placed.get(formatRunKey(line));
    if (placedAtMs === undefined || !isRunEvent(line)) continue;
    const shift = Math.max(0, placedAtMs - line.atMs);
    const known = shifts.get(line.process) ?? 0;
    shifts.set(line.process, Math.max(known, shift));
  }
  const shifted = lines
    .map(line => ({...line, atMs: line.atMs + (shifts.get(line.process) ?? 0)}))
    .sort(
      (a, b) =>
        a.atMs - b.atMs || Number(isRunEvent(a)) - Number(isRunEvent(b)),
    );
  const [first] = shifted;
  return shifted.map(line => ({...line, sinceMs: line.atMs - first.atMs}));
}

function isRunEvent({event}: LogLine): boolean {
  return event.startsWith('run-');
}

function formatRunKey({fields}: LogLine): string {
  return `${String(fields.task)}#${String(fields.run)}`;
}

/** Descriptions of events for operators. */
const EVENT_DESCRIPTIONS: Readonly<Record<string, string>> = {
  'job-admitted': 'took the job',
  'job-refused': 'refused the job before any of its tasks ran',
  'job-ended': 'ended the job',
  'caller-gone': 'lost the connection to the caller',
  'task-placed': 'gave a task to an agent',
  'task-recalled': 'withdrew a task from a slow target',
  'run-started': 'observed the run begin on its target',
  'run-stopped': 'stopped the run',
  'run-ended': 'observed the run end',
  'order-failed': 'got no valid answer to an order',
  'request-rejected': 'rejected the request',
};

/** Formats a timeline as text, one event per line. */
export function printTimeline(timeline: readonly TimelineEvent[]): string {
  return timeline
    .map(({sinceMs, process, event, message, fields}) => {
      const description = EVENT_DESCRIPTIONS[event] ?? event;
      const details = Object.entries(fields)
        .filter(([name]) => !OMITTED_FIELDS.has(name))
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(' ');
      const time = `${Math.round(sinceMs)} ms`.padStart(9);
      return `${time}  ${process} ${description}. ${message} ${details}`.trimEnd();
    })
    .join('\n');
}
