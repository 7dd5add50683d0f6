/** Open-loop load: submits jobs at a constant rate, regardless of answers. */
import {repeatTimer} from '../../src/lib/core/clock.js';
import type {StartTimer, StopTimer} from '../../src/lib/core/clock.js';
import {pause} from './await_condition.js';
import type {CallerTask, SubmissionRequest} from './caller_task.js';
import type {LoadStep} from './step.js';
import type {Submission} from './evidence.js';
import {createJobBody, nameAttempt} from './job_body.js';

/** Step and dependencies of a `LoadRunner`. */
export interface LoadOptions {
  readonly step: LoadStep;
  readonly caller: CallerTask;
  readonly startTimer: StartTimer;
}

const MAX_ATTEMPTS = 4;
const RETRY_DELAY_MS = 200;
const RESUBMIT_DELAY_MS = 10;

/** A running load. */
export class LoadRunner {
  private readonly pendingJobs = new Set<Promise<void>>();
  private readonly stopTimer: StopTimer;
  private submittedCount = 0;

  private constructor(private readonly options: LoadOptions) {
    this.stopTimer = repeatTimer(
      options.startTimer,
      options.step.everyMs,
      () => {
        this.submitNext();
      },
    );
  }

  /** Creates a load and starts to submit jobs. */
  static create(options: LoadOptions): LoadRunner {
    return new LoadRunner(options);
  }

  /** Stops submitting new jobs; pending ones continue. */
  stop(): void {
    this.stopTimer();
  }

  /** Stops submitting and resolves when all pending jobs have ended. */
  async finish(): Promise<void> {
    this.stop();
    await Promise.all(this.pendingJobs);
  }

  private submitNext(): void {
    const {step} = this.options;
    if (this.submittedCount >= step.jobsAtMost) return;
    this.submittedCount += 1;
    const job = this.runJob(this.submittedCount).finally(() =>
      this.pendingJobs.delete(job),
    );
    this.pendingJobs.add(job);
  }

  private async runJob(number: number): Promise<void> {
    const {step} = this.options;
    const isResubmitted =
      step.resubmitEvery > 0 && number % step.resubmitEvery === 0;
    const first = this.submitWithRetries(number);
    if (isResubmitted) await this.submitAgain(number);
    await first;
  }

  private async submitWithRetries(number: number): Promise<void> {
    const {step, caller, startTimer} = this.options;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const submission = await caller.submit(
        this.createRequest(number, attempt),
      );
      if (!step.retries || !isRetryAllowed(submission)) return;
      await pause(findRetryDelay(submission), startTimer);
    }
  }

  /** Resubmits the body and key of the first attempt through the next entry. */
  private async submitAgain(number: number): Promise<void> {
    const {caller, startTimer} = this.options;
    await pause(RESUBMIT_DELAY_MS, startTimer);
    const request = this.createRequest(number, 0);
    const key = caller.findKey(request.name);
    if (key === '') return;
    const via = this.pickEntry(number + 1);
    await caller.submit({...request, name: `${request.name}-again`, via, key});
  }

  private createRequest(number: number, attempt: number): SubmissionRequest {
    const {step} = this.options;
    const job = `${step.name}-${number}`;
    const via = this.pickEntry(number + attempt);
    return {
      name: attempt === 0 ? job : `${job}-retry-${attempt}`,
      group: step.name,
      job,
      keyName: `${job}-${attempt}`,
      via,
      sessionFrom: via,
      body: createJobBody(nameAttempt(job, attempt), step.job),
      team: step.job.team,
    };
  }

  private pickEntry(number: number): string {
    const {via} = this.options.step;
    return via[number % via.length];
  }
}

/**
 * Returns whether a caller may submit a job again under a new key.
 *
 * This is safe only if no task ran: the answer says so, the session had ended
 * before this first submission under its key, or nothing was sent.
 */
export function isRetryAllowed(submission: Submission): boolean {
  const body = submission.answer?.body;
  if (submission.answer === undefined) return !submission.isCut;
  return body?.outcome === 'did-not-run' || body?.code === 'session-ended';
}

function findRetryDelay(submission: Submission): number {
  return submission.answer?.body?.retryAfterMs ?? RETRY_DELAY_MS;
}
