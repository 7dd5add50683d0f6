/** Submits jobs at a steady rate, whether or not answers come. */
import {repeatTimer} from '../../src/lib/core/clock.js';
import type {StartTimer, StopTimer} from '../../src/lib/core/clock.js';
import {pause} from './await_condition.js';
import type {CallerTask, SubmissionOrder} from './caller_task.js';
import type {LoadStep} from './step.js';
import type {Submission} from './evidence.js';
import {createJobBody, nameAttempt} from './job_body.js';

/** What a load needs. */
export interface LoadOptions {
  readonly step: LoadStep;
  readonly caller: CallerTask;
  readonly startTimer: StartTimer;
}

const ATTEMPTS_AT_MOST = 4;
const RETRY_DELAY_MS = 200;
const RESUBMIT_DELAY_MS = 10;

/** One load while it runs. */
export class LoadRunner {
  private readonly open = new Set<Promise<void>>();
  private readonly stopTimer: StopTimer;
  private jobs = 0;

  private constructor(private readonly options: LoadOptions) {
    this.stopTimer = repeatTimer(
      options.startTimer,
      options.step.everyMs,
      () => {
        this.submitNext();
      },
    );
  }

  /** Begins to submit. */
  static create(options: LoadOptions): LoadRunner {
    return new LoadRunner(options);
  }

  /** Submits no further jobs. */
  stop(): void {
    this.stopTimer();
  }

  /** Submits no further jobs and resolves when every answer is in. */
  async finish(): Promise<void> {
    this.stop();
    await Promise.all(this.open);
  }

  private submitNext(): void {
    const {step} = this.options;
    if (this.jobs >= step.jobsAtMost) return;
    this.jobs += 1;
    const job = this.runJob(this.jobs).finally(() => this.open.delete(job));
    this.open.add(job);
  }

  private async runJob(number: number): Promise<void> {
    const {step} = this.options;
    const isTwice = step.resubmitEvery > 0 && number % step.resubmitEvery === 0;
    const first = this.submitWithRetries(number);
    if (isTwice) await this.submitAgain(number);
    await first;
  }

  private async submitWithRetries(number: number): Promise<void> {
    const {step, caller, startTimer} = this.options;
    for (let attempt = 0; attempt < ATTEMPTS_AT_MOST; attempt += 1) {
      const submission = await caller.submit(this.order(number, attempt));
      if (!step.retries || !isRetryAllowed(submission)) return;
      await pause(findRetryDelay(submission), startTimer);
    }
  }

  /** Sends the first attempt's body and key again through the next entry. */
  private async submitAgain(number: number): Promise<void> {
    const {caller, startTimer} = this.options;
    await pause(RESUBMIT_DELAY_MS, startTimer);
    const order = this.order(number, 0);
    const key = caller.findKey(order.name);
    if (key === '') return;
    const via = this.pickEntry(number + 1);
    await caller.submit({...order, name: `${order.name}-again`, via, key});
  }

  private order(number: number, attempt: number): SubmissionOrder {
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
 * Tells whether a caller may submit a job anew after this answer.
 *
 * It may when nothing ran: the answer says so, the session had ended before
 * this first submission under its key, or nothing was sent at all.
 */
export function isRetryAllowed(submission: Submission): boolean {
  const body = submission.answer?.body;
  if (submission.answer === undefined) return !submission.isCut;
  return body?.outcome === 'did-not-run' || body?.code === 'session-ended';
}

function findRetryDelay(submission: Submission): number {
  return submission.answer?.body?.retryAfterMs ?? RETRY_DELAY_MS;
}
