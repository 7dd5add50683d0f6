/** Writer of the fleet's log: bounded in memory, and never blocks. */
import {write} from 'node:fs';
import type {ProcessIdentity} from '../core/identity.js';
import {LogLevel} from '../settings/settings_schema.js';
import {FLEET_LOG_LEVELS, FleetEvent} from './fleet_log.js';
import type {FleetLog} from './fleet_log.js';

/** Maximum number of bytes queued for a slow reader; further lines are dropped. */
const MAX_QUEUED_BYTES = 256 * 1024;

/** Writes bytes to a file descriptor and calls `done`. */
export type WriteBytes = (
  descriptor: number,
  bytes: Buffer,
  done: (failure: Error | null, written: number) => void,
) => void;

/**
 * Writes lines to a file descriptor, one write at a time, outside the event
 * loop's thread. A reader that has stopped causes dropped lines, never a delayed
 * request.
 */
export class LineSink {
  private queued: Buffer[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private dropped = 0;

  private constructor(
    private readonly descriptor: number,
    private readonly writeBytes: WriteBytes,
  ) {}

  /** Creates a sink for a file descriptor. */
  static create(descriptor: number, writeBytes: WriteBytes = write): LineSink {
    return new LineSink(descriptor, writeBytes);
  }

  /** Whether the reader keeps up, so that a line about dropped lines gets through. */
  get hasCapacity(): boolean {
    return this.queuedBytes < MAX_QUEUED_BYTES / 2;
  }

  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount(): number {
    const {dropped} = this;
    this.dropped = 0;
    return dropped;
  }

  /** Queues a line for writing, or drops it if the queue is full. */
  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.queuedBytes + bytes.length > MAX_QUEUED_BYTES) {
      this.dropped += 1;
      return;
    }
    this.queued.push(bytes);
    this.queuedBytes += bytes.length;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting || this.queued.length === 0) return;
    this.isWriting = true;
    const batch = Buffer.concat(this.queued);
    this.queued = [];
    this.send(batch);
  }

  private send(batch: Buffer): void {
    this.writeBytes(this.descriptor, batch, (failure, written) => {
      this.queuedBytes -= failure === null ? written : batch.length;
      if (failure === null && written < batch.length) {
        this.send(batch.subarray(written));
        return;
      }
      this.isWriting = false;
      this.flush();
    });
  }
}

/** Options of `createFleetLog`. */
export interface FleetLogOptions {
  readonly program: string;
  readonly identity: ProcessIdentity;
  readonly sink: LineSink;
}

const STANDARD_OUTPUT = 1;

/** Creates a sink that writes to standard output. */
export function createStdoutSink(): LineSink {
  return LineSink.create(STANDARD_OUTPUT);
}

type LevelWriters = Record<LogLevel, (fields: object, text: string) => void>;

/** Creates the log of a process; each line carries the process's identity. */
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
    const dropped = sink.hasCapacity ? sink.takeDroppedCount() : 0;
    if (dropped > 0) {
      const text = 'Log lines were dropped: the reader is too slow.';
      write(FleetEvent.LINES_DROPPED, text, {counts: {unread: dropped}});
    }
    write(event, message, fields);
  };
}
