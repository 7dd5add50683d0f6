/**
 * Structured logs of the servers in `src/lib/entry` and `src/lib/agent`: one JSON
 * object per line, written by `bunyan`.
 */
import type {ProcessIdentity} from '../core/identity.js';
import {LogLevel} from '../settings/settings_schema.js';

/** Events of the log; written as field `event` of a line. */
export enum LogEvent {
  READY = 'ready',
  STOPPING = 'stopping',
  STOPPED = 'stopped',
  WORK_UNFINISHED = 'unfinished',
  FAILURE = 'failure',
  CONFIGURATION_APPLIED = 'configuration-applied',
  RECORD_REJECTED = 'record-rejected',
  RECORD_WRITTEN = 'record-written',
  STORE_LOST = 'store-lost',
  STORE_CONFIRMED = 'store-confirmed',
  AGENT_CONNECTED = 'agent-connected',
  AGENT_DISCONNECTED = 'agent-missing',
  AGENT_LOST = 'agent-gone',
  ENTRY_CONNECTED = 'entry-connected',
  ENTRY_DISCONNECTED = 'entry-missing',
  TARGET_PRESENT = 'target-present',
  TARGET_LEAVING = 'target-leaving',
  TARGET_ABSENT = 'target-absent',
  PERMISSION_GRANTED = 'permission-granted',
  PERMISSION_WITHHELD = 'permission-withheld',
  JOB_ENDED = 'job-ended',
  METRICS_FAILED = 'metrics-failed',
}

/** Fields of a log line in addition to those that every line has. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one line to the log. */
export type WriteLog = (
  level: LogLevel,
  event: LogEvent,
  message: string,
  fields?: LogFields,
) => void;

/** A log that can be extended by fields. */
export interface Log {
  readonly write: WriteLog;
  /** Returns a log whose lines also carry these fields. */
  readonly extend: (fields: LogFields) => Log;
}

/** Options of `createLog`. */
export interface LogOptions {
  /** Name of the program. */
  readonly program: string;
  readonly identity: ProcessIdentity;
  readonly level: LogLevel;
  /** Destination of the lines; standard output by default. */
  readonly stream?: NodeJS.WritableStream;
}

/** The part of a `bunyan` logger that is used here. */
type LevelWriters = Record<LogLevel, (fields: object, text: string) => void> & {
  child(fields: object): LevelWriters;
};

/**
 * Creates the log of a process. Each line carries the process's id,
 * incarnation and data centre.
 */
export async function createLog(options: LogOptions): Promise<Log> {
  const {default: bunyan} = await import('bunyan');
  const logger = bunyan.createLogger({
    name: options.program,
    level: options.level,
    stream: options.stream ?? process.stdout,
    serializers: {err: bunyan.stdSerializers.err},
    process: options.identity.id,
    incarnation: options.identity.incarnation,
    dataCentre: options.identity.dataCentre,
  });
  return wrapLogger(logger as unknown as LevelWriters);
}

/** Returns a log whose lines carry a job's key and its trace context. */
export function extendWithJob(log: Log, job: string, trace: string): Log {
  return log.extend(trace === '' ? {job} : {job, trace});
}

/** A log that discards all lines, for tests and short programs. */
export const NO_OP_LOG: Log = {
  write: () => {},
  extend: () => NO_OP_LOG,
};

function wrapLogger(logger: LevelWriters): Log {
  return {
    write: (level, event, message, fields) =>
      logger[level]({event, ...fields}, message),
    extend: fields => wrapLogger(logger.child(fields)),
  };
}
