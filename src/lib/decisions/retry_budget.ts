/** Token bucket that limits the share of an entry's sends that are retries. */

/** State of the token bucket. */
export interface RetryBudget {
  readonly tokens: number;
  /** Monotonic time in milliseconds before which nothing is sent. */
  readonly pausedUntilMs: number;
}

/** Consecutive returned tasks after which sending pauses. */
const BURST_TASKS = 200;

/** Returned tasks allowed per sent task, on average. */
const RETURNS_PER_SEND = 0.1;

/** Pause in milliseconds once the budget is exhausted. */
const PAUSE_MS = 100;

/** A full budget. */
export const FULL_BUDGET: RetryBudget = {
  tokens: BURST_TASKS,
  pausedUntilMs: 0,
};

/** Refills the budget for a task that was sent. */
export function recordSend(budget: RetryBudget): RetryBudget {
  if (budget.tokens >= BURST_TASKS) return budget;
  const tokens = Math.min(BURST_TASKS, budget.tokens + RETURNS_PER_SEND);
  return {...budget, tokens};
}

/** Charges the budget for a task that was returned unstarted and will be resent. */
export function recordReturn(budget: RetryBudget, nowMs: number): RetryBudget {
  const tokens = Math.max(0, budget.tokens - 1);
  const pausedUntilMs = tokens < 1 ? nowMs + PAUSE_MS : budget.pausedUntilMs;
  return {tokens, pausedUntilMs};
}

/** Returns whether sending pauses; the pause lets agents report their load. */
export function isPaused(budget: RetryBudget, nowMs: number): boolean {
  return nowMs < budget.pausedUntilMs;
}
