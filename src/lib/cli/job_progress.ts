/**
 * Shows the progress of a submitted job while the command waits for its result.
 */
import {repeatTimer} from '../core/clock.js';
import type {StopTimer} from '../core/clock.js';
import {getJob} from './job_client.js';
import type {JobClient} from './job_client.js';
import {formatProgress, readProgress} from './results/job_result.js';

const POLL_INTERVAL_MS = 500;

/**
 * Polls a job's progress and shows it until the returned function is called.
 * Failed polls are ignored: the result arrives in the response to the
 * submission.
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
