/** The refusals that the dispatcher decides without the planner. */
import {Problem} from '../core/job.js';
import {KeyVerdict} from '../decisions/idempotency_key_table.js';
import type {Refusal} from './dispatcher_messages.js';

/** Suggested delay in milliseconds before a retry. */
const RETRY_AFTER_MS = 1000;

/** The session is no longer held, so it is unknown whether the key has run. */
export const SESSION_ENDED: Refusal = {
  problem: Problem.SESSION_ENDED,
  isProvenUnstarted: false,
  detail:
    'The session of this key is not remembered any more. This submission ' +
    'started nothing; an earlier one under the same key may have run.',
  retryAfterMs: 0,
};

/** No job has been submitted under the key. */
export const NOT_FOUND: Refusal = {
  problem: Problem.NOT_FOUND,
  isProvenUnstarted: true,
  detail: 'No job has been submitted under this key.',
  retryAfterMs: 0,
};

/** The entry has not read the operators' records yet. */
export const NOT_READY: Refusal = {
  problem: Problem.NOT_READY,
  isProvenUnstarted: true,
  detail: 'The entry has no configuration yet.',
  retryAfterMs: RETRY_AFTER_MS,
};

/** The entry is stopping and accepts no new job. */
export const STOPPING: Refusal = {
  problem: Problem.STOPPING,
  isProvenUnstarted: true,
  detail: 'The entry is stopping; submit through another one.',
  retryAfterMs: RETRY_AFTER_MS,
};

const REUSED: Refusal = {
  problem: Problem.KEY_REUSED,
  isProvenUnstarted: false,
  detail: 'The key stands for another body. This submission started nothing.',
  retryAfterMs: 0,
};

const ANSWER_EXPIRED: Refusal = {
  problem: Problem.ANSWER_EXPIRED,
  isProvenUnstarted: false,
  detail: 'The job has ended; its answer is no longer kept.',
  retryAfterMs: 0,
};

const SESSION_FULL: Refusal = {
  problem: Problem.SESSION_ENDED,
  isProvenUnstarted: true,
  detail: 'The session holds its number of keys; open another one.',
  retryAfterMs: 0,
};

/** Returns the refusal for a verdict that starts no job and has no answer. */
export function describeVerdict(verdict: KeyVerdict): Refusal {
  switch (verdict) {
    case KeyVerdict.REUSED:
      return REUSED;
    case KeyVerdict.ANSWER_EXPIRED:
      return ANSWER_EXPIRED;
    case KeyVerdict.SESSION_FULL:
      return SESSION_FULL;
    case KeyVerdict.NEW:
    case KeyVerdict.RUNNING:
    case KeyVerdict.ANSWERED:
    case KeyVerdict.SESSION_ENDED:
      return SESSION_ENDED;
  }
}

/** Returns the refusal of a job of a team that has no record. */
export function describeUnknownTeam(team: string): Refusal {
  return {
    problem: Problem.TEAM_UNKNOWN,
    isProvenUnstarted: true,
    detail: `There is no record of a team "${team}".`,
    retryAfterMs: 0,
  };
}
