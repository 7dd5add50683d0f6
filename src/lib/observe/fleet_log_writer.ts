/** Writes the fleet's log: bounded in volume, and never waited for. */
import {write} from 'node:fs';
import type {ProcessIdentity} from '../core/identity.js';
import {LogLevel} from '../settings/settings_schema.js';
import {FLEET_LOG_LEVELS, FleetEvent} from './fleet_log.js';
import type {FleetLog} from './fleet_log.js';

/** Bytes that may wait for a slow reader; beyond that lines are left out. */
const WAITING_BYTES_AT_MOST = 256 * 1024;

/** Writes bytes to a descriptor and calls back. */
export type WriteBytes = (
  descriptor: number,
  bytes: Buffer,
  done: (failure: Error | null, written: number) => void,
) => void;

/**
 * Hands lines to a descriptor, one write at a time, outside the event loop's
 * thread. A reader that has stopped costs lines, never a request.
 */
export class LineSink {
  private waiting: Buffer[] = [];
  private bytes = 0;
  private isWriting = false;
  private leftOut = 0;

  private constructor(
    private readonly descriptor: number,
    private readonly writeBytes: WriteBytes,
  ) {}

  /** Creates a sink. */
  static create(descriptor: number, writeBytes: WriteBytes = write): LineSink {
    return new LineSink(descriptor, writeBytes);
  }

  /** Whether the reader keeps up, so that a line about lost lines arrives. */
  get hasCapacity(): boolean {
    return this.bytes < WAITING_BYTES_AT_MOST / 2;
  }

  /** Number of lines left out since this was read last. */
  takeDroppedCount(): number {
    const {leftOut} = this;
    this.leftOut = 0;
    return leftOut;
  }

  /** Queues a line. */
  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.bytes + bytes.length > WAITING_BYTES_AT_MOST) {
      this.leftOut += 1;
      return;
    }
    this.waiting.push(bytes);
    this.bytes += bytes.length;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.waiting.length === 0) return;
    this.isWriting = true;
    const batch = Buffer.concat(this.waiting);
    this.waiting = [];
    this.send(batch);
  }

  private send(batch: Buffer): void {
    this.writeBytes(this.descriptor, batch, (failure, written) => {
      this.bytes -= failure === null ? written : batch.length;
      if (failure === null && written < batch.length) {
        this.send(batch.subarray(written));
        return;
      }
      this.isWriting = false;
      this.flush();
    });
  }
}

/** What the log needs. */
export interface FleetLogOptions {
  readonly program: string;
  readonly identity: ProcessIdentity;
  readonly sink: LineSink;
}

const STANDARD_OUTPUT = 1;

/** Creates the sink of standard output. */
export function createStdoutSink(): LineSink {
  return LineSink.create(STANDARD_OUTPUT);
}

type LevelWriters = Record<LogLevel, (fields: object, text: string) => void>;

/** Creates the log of a process. */
export async function createFleetLog(
  options: FleetLogOptions,
): Promise<FleetLog> {
  const {default: bunyan} = await import('bunyan');
  const {program, identity, sink} = options;
  const logger = bunyan.createLogger({
    name: program,
    level: LogLevel.INFO,
    stream: {write: (line: string) => sink.write(line)} as never,
    serializers: {err: bunyan.stdSerializers.err},
    process: identity.id,
    incarnation: identity.incarnation,
    dataCentre: identity.dataCentre,
  }) as unknown as LevelWriters;
  const write: FleetLog = (event, message, fields) =>
    logger[FLEET_LOG_LEVELS[event] ?? LogLevel.INFO](
      {event, ...fields},
      message,
    );
  return (event, message, fields) => {
    const unread = sink.hasCapacity ? sink.takeDroppedCount() : 0;
    if (unread > 0) {
      const text = 'The reader of the log was behind.';
      write(FleetEvent.LINES_DROPPED, text, {counts: {unread}});
    }
    write(event, message, fields);
  };
}
