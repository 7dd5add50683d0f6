/** Limits how much of an entry's sending may be sending again. */

/** What is left of the budget. */
export interface RetryBudget {
  readonly tokens: number;
  /** Monotonic time before which nothing is sent. */
  readonly pausedUntilMs: number;
}

/** Tasks that may come back in a row before sending pauses. */
const BURST_TASKS = 200;

/** Tasks that may come back for each one sent, on average. */
const RETURNS_PER_SEND = 0.1;

/** Pause in milliseconds once the budget is used up. */
const PAUSE_MS = 100;

/** A budget of which nothing has been used. */
export const FULL_BUDGET: RetryBudget = {
  tokens: BURST_TASKS,
  pausedUntilMs: 0,
};

/** Counts a task as sent. */
export function recordSend(budget: RetryBudget): RetryBudget {
  if (budget.tokens >= BURST_TASKS) return budget;
  const tokens = Math.min(BURST_TASKS, budget.tokens + RETURNS_PER_SEND);
  return {...budget, tokens};
}

/** Counts a task that came back not started and is to be sent again. */
export function recordReturn(budget: RetryBudget, nowMs: number): RetryBudget {
  const tokens = Math.max(0, budget.tokens - 1);
  const pausedUntilMs = tokens < 1 ? nowMs + PAUSE_MS : budget.pausedUntilMs;
  return {tokens, pausedUntilMs};
}

/** Tells whether sending pauses, so that agents can report again. */
export function isPaused(budget: RetryBudget, nowMs: number): boolean {
  return nowMs < budget.pausedUntilMs;
}
