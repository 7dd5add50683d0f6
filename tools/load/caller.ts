/**
 * Open-loop callers of a load: each job is submitted at its planned time,
 * whether or not earlier jobs have been answered.
 */
import {Pool} from 'undici';
import {RequestError} from '../../src/lib/core/errors.js';
import {Outcome} from '../../src/lib/core/job.js';
import {startTimer} from '../../src/lib/core/clock.js';
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';
import {PostOutcome, Task} from '../../src/lib/core/task.js';
import {LOOPBACK_HOST} from './fleet_files.js';
import type {PlannedJob} from './load_plan.js';

/** Outcome of one job as its caller saw it. */
export interface JobOutcome {
  readonly number: number;
  readonly entry: number;
  /** Time from the planned submission to the end of the response. */
  readonly responseMs: number;
  /** Time of the response since the start of the load. */
  readonly answeredAtMs: number;
  /** Undefined if no response arrived or it could not be parsed. */
  readonly outcome: Outcome | undefined;
  /** Problem code, or empty. */
  readonly code: string;
  /** True if a complete job returned another job's results, or too few. */
  readonly isWrong: boolean;
}

/** Options for creating callers. */
export interface CallerOptions {
  readonly entryPorts: readonly number[];
  readonly deadlineMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  /** Time by `readMonotonicMs` at which the load starts. */
  readonly startAtMs: number;
  readonly reportOutcome: (outcome: JobOutcome) => void;
}

/** Kinds of message that the callers handle. */
export enum CallerMessageKind {
  DUE = 'due',
  RESPONSE = 'answered',
  NO_RESPONSE = 'silent',
  CANCEL_SHARE = 'cancel-share',
}

/** Messages that the callers handle. */
export type CallerMessage =
  | {readonly kind: CallerMessageKind.DUE; readonly job: PlannedJob}
  | {
      readonly kind: CallerMessageKind.RESPONSE;
      readonly job: PlannedJob;
      readonly entry: number;
      readonly text: string;
    }
  | {
      readonly kind: CallerMessageKind.NO_RESPONSE;
      readonly job: PlannedJob;
      readonly entry: number;
    }
  | {readonly kind: CallerMessageKind.CANCEL_SHARE; readonly percent: number};

const MAILBOX_CAPACITY = 100_000;
const CONNECTIONS_PER_ENTRY = 1024;
const PERCENT = 100;

/** Milliseconds after a job's deadline before its request is aborted. */
const RESPONSE_GRACE_MS = 15_000;

/** Owns the connections to the entries and the sessions of the teams. */
export class Callers {
  private readonly task: Task<CallerMessage>;
  private readonly pools: Pool[];
  private readonly sessions = new Map<string, Promise<string>>();
  private readonly entryByOpenJob = new Map<number, number>();
  private remainingJobs = 0;
  private resolveAnswered: () => void = () => undefined;
  /** Resolves when every scheduled job has ended, with a response or without. */
  readonly answered = new Promise<void>(
    resolve => (this.resolveAnswered = resolve),
  );

  private constructor(private readonly options: CallerOptions) {
    this.task = Task.create<CallerMessage>({
      name: 'callers',
      capacity: MAILBOX_CAPACITY,
      handle: message => this.handle(message),
      reportFailure: failure => process.emitWarning(failure as Error),
    });
    this.pools = options.entryPorts.map(
      port =>
        new Pool(`http://${LOOPBACK_HOST}:${port}`, {
          connections: CONNECTIONS_PER_ENTRY,
          headersTimeout: 0,
          bodyTimeout: 0,
        }),
    );
    for (const pool of this.pools) this.task.store.add(() => pool.destroy());
  }

  /** Creates callers with no jobs scheduled. */
  static create(options: CallerOptions): Callers {
    return new Callers(options);
  }

  /** Schedules the submission of each job at its planned time. */
  schedule(jobs: readonly PlannedJob[]): void {
    const elapsedMs = this.options.readMonotonicMs() - this.options.startAtMs;
    this.remainingJobs += jobs.length;
    for (const job of jobs) {
      const delayMs = Math.max(0, job.atMs - elapsedMs);
      const post = () => this.post({kind: CallerMessageKind.DUE, job});
      this.task.store.add(startTimer(delayMs, post));
    }
  }

  /** Cancels a percentage of the jobs that have not been answered. */
  cancelShare(percent: number): void {
    this.post({kind: CallerMessageKind.CANCEL_SHARE, percent});
  }

  /** Opens a session for each team at every entry. */
  async openSessions(teams: readonly string[]): Promise<void> {
    const entries = this.pools.map((_, entry) => entry);
    await Promise.all(
      teams.flatMap(team => entries.map(entry => this.getSession(team, entry))),
    );
  }

  /** Stops the callers and closes their connections. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private post(message: CallerMessage): void {
    if (this.task.post(message) === PostOutcome.FULL) {
      process.emitWarning('Callers dropped a message: mailbox full.');
    }
  }

  private handle(message: CallerMessage): void {
    switch (message.kind) {
      case CallerMessageKind.DUE:
        this.submitJob(message.job);
        break;
      case CallerMessageKind.RESPONSE:
        this.completeJob(message.job, message.entry, parseResponse(message));
        break;
      case CallerMessageKind.NO_RESPONSE:
        this.completeJob(message.job, message.entry, NO_RESPONSE);
        break;
      case CallerMessageKind.CANCEL_SHARE:
        this.cancelOpenJobs(message.percent);
        break;
    }
  }

  private submitJob(job: PlannedJob): void {
    const entry = job.number % this.pools.length;
    this.entryByOpenJob.set(job.number, entry);
    this.sendJob(job, entry).then(
      text => this.post({kind: CallerMessageKind.RESPONSE, job, entry, text}),
      () => this.post({kind: CallerMessageKind.NO_RESPONSE, job, entry}),
    );
  }

  private async sendJob(job: PlannedJob, entry: number): Promise<string> {
    const session = await this.getSession(job.team, entry);
    const {deadlineMs} = this.options;
    const response = await this.pools[entry].request({
      method: 'POST',
      path: '/v1/jobs',
      headers: {
        'content-type': 'application/json',
        'idempotency-key': `${session}.${formatJobKey(job.number)}`,
      },
      body: JSON.stringify({
        team: job.team,
        value: job.value,
        deadlineMs,
        tasks: job.tasks.map(({runMs, declaredMs}, index) => ({
          payload: buildPayload(job.number, index, runMs),
          expectedMs: declaredMs,
        })),
      }),
      signal: AbortSignal.timeout(deadlineMs + RESPONSE_GRACE_MS),
    });
    return response.body.text();
  }

  private getSession(team: string, entry: number): Promise<string> {
    const name = `${team}@${entry}`;
    const cached = this.sessions.get(name);
    if (cached !== undefined) return cached;
    const session = this.openSession(team, entry);
    this.sessions.set(name, session);
    // After a failure, the next job tries to open the session again.
    session.catch(() => this.sessions.delete(name));
    return session;
  }

  private async openSession(team: string, entry: number): Promise<string> {
    const response = await this.pools[entry].request({
      method: 'POST',
      path: '/v1/sessions',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({team}),
    });
    const {session} = (await response.body.json()) as {session?: string};
    if (session === undefined) {
      throw new RequestError('Entry returned no session id.');
    }
    return session;
  }

  private cancelOpenJobs(percent: number): void {
    const numbers = [...this.entryByOpenJob.keys()];
    const count = Math.round((numbers.length * percent) / PERCENT);
    for (const number of numbers.slice(0, count)) {
      this.sendCancellation(number, this.entryByOpenJob.get(number)!).catch(
        (failure: unknown) => process.emitWarning(String(failure)),
      );
    }
  }

  private async sendCancellation(number: number, entry: number) {
    for (const [name, opened] of this.sessions) {
      if (!name.endsWith(`@${entry}`)) continue;
      const key = `${await opened}.${formatJobKey(number)}`;
      const path = `/v1/jobs/${encodeURIComponent(key)}`;
      const pool = this.pools[entry];
      const response = await pool.request({method: 'DELETE', path});
      await response.body.dump();
    }
  }

  private completeJob(
    job: PlannedJob,
    entry: number,
    response: ParsedResponse,
  ): void {
    this.entryByOpenJob.delete(job.number);
    const answeredAtMs =
      this.options.readMonotonicMs() - this.options.startAtMs;
    this.options.reportOutcome({
      number: job.number,
      entry,
      responseMs: answeredAtMs - job.atMs,
      answeredAtMs,
      ...response,
    });
    this.remainingJobs -= 1;
    if (this.remainingJobs === 0) this.resolveAnswered();
  }
}

type ParsedResponse = Pick<JobOutcome, 'outcome' | 'code' | 'isWrong'>;

const NO_RESPONSE: ParsedResponse = {
  outcome: undefined,
  code: 'no-answer',
  isWrong: false,
};

function formatJobKey(number: number): string {
  return `job-${number}`;
}

function buildPayload(job: number, task: number, runMs: number) {
  const id = `${job}/${task}`;
  return {do: 'sleep', ms: runMs, id, echo: id};
}

function parseResponse(message: {
  readonly job: PlannedJob;
  readonly text: string;
}): ParsedResponse {
  const {job, text} = message;
  let body: {outcome?: Outcome; code?: string; results?: unknown[]};
  try {
    body = JSON.parse(text) as typeof body;
  } catch {
    return {...NO_RESPONSE, code: 'answer-truncated'};
  }
  const isWrong =
    body.outcome === Outcome.COMPLETE &&
    !hasAllResults(job, body.results ?? []);
  return {outcome: body.outcome, code: body.code ?? '', isWrong};
}

function hasAllResults(job: PlannedJob, results: readonly unknown[]): boolean {
  return (
    results.length === job.tasks.length &&
    results.every(
      (result, index) =>
        (result as {echo?: unknown}).echo === `${job.number}/${index}`,
    )
  );
}
