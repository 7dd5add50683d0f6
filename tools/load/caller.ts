/** The callers of a load: submit each job at its time, whatever came of others. */
import {Pool} from 'undici';
import {RequestError} from '../../src/lib/core/errors.js';
import {Outcome} from '../../src/lib/core/job.js';
import {startTimer} from '../../src/lib/core/clock.js';
import type {ReadMonotonicMs} from '../../src/lib/core/clock.js';
import {PostOutcome, Task} from '../../src/lib/core/task.js';
import {HOST} from './fleet_files.js';
import type {PlannedJob} from './load_plan.js';

/** What became of one job. */
export interface JobOutcome {
  readonly number: number;
  readonly entry: number;
  /** Time from the intended start to the whole answer. */
  readonly responseMs: number;
  /** When the answer came, by the clock of the load. */
  readonly answeredAtMs: number;
  /** Undefined if there was no answer that could be read. */
  readonly outcome: Outcome | undefined;
  /** Code of the problem, or empty. */
  readonly code: string;
  /** True if a whole answer held another job's results, or too few. */
  readonly isWrong: boolean;
}

/** What callers need to be created. */
export interface CallerOptions {
  readonly entryPorts: readonly number[];
  readonly deadlineMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  /** Time by `readMonotonicMs` at which the load starts. */
  readonly startAtMs: number;
  readonly reportOutcome: (outcome: JobOutcome) => void;
}

/** Kinds of message that callers take. */
export enum CallerMessageKind {
  DUE = 'due',
  ANSWERED = 'answered',
  SILENT = 'silent',
  CANCEL_SHARE = 'cancel-share',
}

/** Messages that callers take. */
export type CallerMessage =
  | {readonly kind: CallerMessageKind.DUE; readonly job: PlannedJob}
  | {
      readonly kind: CallerMessageKind.ANSWERED;
      readonly job: PlannedJob;
      readonly entry: number;
      readonly text: string;
    }
  | {
      readonly kind: CallerMessageKind.SILENT;
      readonly job: PlannedJob;
      readonly entry: number;
    }
  | {readonly kind: CallerMessageKind.CANCEL_SHARE; readonly percent: number};

const MAILBOX_CAPACITY = 100_000;
const CONNECTIONS_PER_ENTRY = 1024;
const PERCENT = 100;

/** Extra time in milliseconds for an answer after the job's deadline. */
const ANSWER_GRACE_MS = 15_000;

/** Owns the callers' connections and the sessions of their teams. */
export class Callers {
  private readonly task: Task<CallerMessage>;
  private readonly pools: Pool[];
  private readonly sessions = new Map<string, Promise<string>>();
  private readonly open = new Map<number, number>();
  private left = 0;
  private resolveAnswered: () => void = () => undefined;
  /** Resolves when every scheduled job has its answer. */
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
        new Pool(`http://${HOST}:${port}`, {
          connections: CONNECTIONS_PER_ENTRY,
          headersTimeout: 0,
          bodyTimeout: 0,
        }),
    );
    for (const pool of this.pools) this.task.store.add(() => pool.destroy());
  }

  /** Creates callers that wait for jobs. */
  static create(options: CallerOptions): Callers {
    return new Callers(options);
  }

  /** Submits each job when it is due. */
  schedule(jobs: readonly PlannedJob[]): void {
    const elapsedMs = this.options.readMonotonicMs() - this.options.startAtMs;
    this.left += jobs.length;
    for (const job of jobs) {
      const delayMs = Math.max(0, job.atMs - elapsedMs);
      const post = () => this.post({kind: CallerMessageKind.DUE, job});
      this.task.store.add(startTimer(delayMs, post));
    }
  }

  /** Cancels a share of the jobs that have no answer. */
  cancelShare(percent: number): void {
    this.post({kind: CallerMessageKind.CANCEL_SHARE, percent});
  }

  /** Opens the sessions of a team at every entry. */
  async openSessions(teams: readonly string[]): Promise<void> {
    const entries = this.pools.map((_, entry) => entry);
    await Promise.all(
      teams.flatMap(team =>
        entries.map(entry => this.findSession(team, entry)),
      ),
    );
  }

  /** Closes the connections. */
  stop(): Promise<void> {
    return this.task.stop();
  }

  private post(message: CallerMessage): void {
    if (this.task.post(message) === PostOutcome.FULL) {
      process.emitWarning('The mailbox of the callers is full.');
    }
  }

  private handle(message: CallerMessage): void {
    switch (message.kind) {
      case CallerMessageKind.DUE:
        this.submit(message.job);
        break;
      case CallerMessageKind.ANSWERED:
        this.finish(message.job, message.entry, readAnswer(message));
        break;
      case CallerMessageKind.SILENT:
        this.finish(message.job, message.entry, NO_ANSWER);
        break;
      case CallerMessageKind.CANCEL_SHARE:
        this.cancel(message.percent);
        break;
    }
  }

  private submit(job: PlannedJob): void {
    const entry = job.number % this.pools.length;
    this.open.set(job.number, entry);
    this.sendJob(job, entry).then(
      text => this.post({kind: CallerMessageKind.ANSWERED, job, entry, text}),
      () => this.post({kind: CallerMessageKind.SILENT, job, entry}),
    );
  }

  private async sendJob(job: PlannedJob, entry: number): Promise<string> {
    const session = await this.findSession(job.team, entry);
    const {deadlineMs} = this.options;
    const answer = await this.pools[entry].request({
      method: 'POST',
      path: '/v1/jobs',
      headers: {
        'content-type': 'application/json',
        'idempotency-key': `${session}.${nameJob(job.number)}`,
      },
      body: JSON.stringify({
        team: job.team,
        value: job.value,
        deadlineMs,
        tasks: job.tasks.map(({runMs, declaredMs}, index) => ({
          payload: describeWork(job.number, index, runMs),
          expectedMs: declaredMs,
        })),
      }),
      signal: AbortSignal.timeout(deadlineMs + ANSWER_GRACE_MS),
    });
    return answer.body.text();
  }

  private findSession(team: string, entry: number): Promise<string> {
    const name = `${team}@${entry}`;
    const known = this.sessions.get(name);
    if (known !== undefined) return known;
    const session = this.openSession(team, entry);
    this.sessions.set(name, session);
    // A session that could not be opened is asked for again by the next job.
    session.catch(() => this.sessions.delete(name));
    return session;
  }

  private async openSession(team: string, entry: number): Promise<string> {
    const answer = await this.pools[entry].request({
      method: 'POST',
      path: '/v1/sessions',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({team}),
    });
    const {session} = (await answer.body.json()) as {session?: string};
    if (session === undefined) {
      throw new RequestError('An entry opened no session.');
    }
    return session;
  }

  private cancel(percent: number): void {
    const numbers = [...this.open.keys()];
    const count = Math.round((numbers.length * percent) / PERCENT);
    for (const number of numbers.slice(0, count)) {
      this.sendCancellation(number, this.open.get(number)!).catch(
        (failure: unknown) => process.emitWarning(String(failure)),
      );
    }
  }

  private async sendCancellation(number: number, entry: number) {
    for (const [name, opened] of this.sessions) {
      if (!name.endsWith(`@${entry}`)) continue;
      const key = `${await opened}.${nameJob(number)}`;
      const path = `/v1/jobs/${encodeURIComponent(key)}`;
      const pool = this.pools[entry];
      const answer = await pool.request({method: 'DELETE', path});
      await answer.body.dump();
    }
  }

  private finish(job: PlannedJob, entry: number, answer: Answer): void {
    this.open.delete(job.number);
    const answeredAtMs =
      this.options.readMonotonicMs() - this.options.startAtMs;
    this.options.reportOutcome({
      number: job.number,
      entry,
      responseMs: answeredAtMs - job.atMs,
      answeredAtMs,
      ...answer,
    });
    this.left -= 1;
    if (this.left === 0) this.resolveAnswered();
  }
}

type Answer = Pick<JobOutcome, 'outcome' | 'code' | 'isWrong'>;

const NO_ANSWER: Answer = {
  outcome: undefined,
  code: 'no-answer',
  isWrong: false,
};

function nameJob(number: number): string {
  return `job-${number}`;
}

function describeWork(job: number, task: number, runMs: number) {
  const id = `${job}/${task}`;
  return {do: 'sleep', ms: runMs, id, echo: id};
}

function readAnswer(message: {
  readonly job: PlannedJob;
  readonly text: string;
}): Answer {
  const {job, text} = message;
  let body: {outcome?: Outcome; code?: string; results?: unknown[]};
  try {
    body = JSON.parse(text) as typeof body;
  } catch {
    return {...NO_ANSWER, code: 'answer-truncated'};
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
