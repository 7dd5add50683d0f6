/** Progress of a submitted job, shown while its answer is awaited. */
import {repeatTimer} from '../core/clock.js';
import type {StopTimer} from '../core/clock.js';
import {getJob} from './job_client.js';
import type {JobClient} from './job_client.js';
import {formatProgress, readProgress} from './verdicts/job_verdict.js';

const POLL_INTERVAL_MS = 500;

/**
 * Shows a job's progress until the returned function is called. The answer
 * comes by the submission itself; a question that fails is not shown.
 */
export function showJobProgress(client: JobClient, key: string): StopTimer {
  let isStopped = false;
  const show = async () => {
    const progress = readProgress(await getJob(client, key));
    if (progress === undefined || isStopped) return;
    client.context.terminal.showProgress(formatProgress(progress));
  };
  const stop = repeatTimer(client.context.startTimer, POLL_INTERVAL_MS, () => {
    void show();
  });
  return () => {
    isStopped = true;
    stop();
  };
}
