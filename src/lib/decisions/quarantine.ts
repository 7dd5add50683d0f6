/** Quarantines targets whose tasks fail, and probes them. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';
import {NO_BACKOFF, recordOutcome} from './failure_backoff.js';
import type {FailureBackoff} from './failure_backoff.js';

/** States of the chart `agent_health`. */
export enum HealthState {
  TRUSTED = 'trusted',
  QUARANTINED = 'quarantined',
  PROBING = 'probing',
}

/** Events of the chart `agent_health`. */
export enum HealthEvent {
  SUCCEED = 'succeed',
  FAIL = 'fail',
  RESUME = 'resume',
  REPLACE = 'replace',
}

/** Health of one agent's target as an entry knows it. */
export interface AgentHealth {
  readonly state: HealthState;
  readonly backoff: FailureBackoff;
  /** Monotonic time at which a quarantine ends. */
  readonly resumeAtMs: number;
  readonly pauseMs: number;
  /** Consecutive successes. */
  readonly successes: number;
}

/**
 * First pause in milliseconds before a quarantined target is probed. A failed
 * probe costs a job; a target that was repaired by a restart has a new instance
 * and does not wait for the pause.
 */
export const FIRST_PAUSE_MS = 10_000;

/** Longest pause in milliseconds between probes. */
export const MAX_PAUSE_MS = 160_000;

/** Consecutive successes after which a probed target is trusted again. */
export const PROVEN_SUCCESSES = 3;

/** Backoff of a target whose probes have succeeded. */
const BACKOFF_AFTER_PROBES = 0.5;

/** Health of a target without recorded failures. */
export const HEALTHY: AgentHealth = {
  state: HealthState.TRUSTED,
  backoff: NO_BACKOFF,
  resumeAtMs: 0,
  pauseMs: FIRST_PAUSE_MS,
  successes: 0,
};

const CHART = Chart.create<HealthState, HealthEvent>(
  readChart('agent_health'),
  {
    states: HealthState,
    events: HealthEvent,
    guards: ['isBackedOff', 'isProven'],
    actions: ['lengthenPause'],
  },
);

/**
 * Records how one task ended at the agent's target.
 *
 * @param setPoint Share of failures that is normal in the fleet.
 */
export function recordEnd(
  health: AgentHealth,
  isSuccess: boolean,
  setPoint: number,
  nowMs: number,
): AgentHealth {
  const backoff = recordOutcome(health.backoff, isSuccess, setPoint);
  const successes = isSuccess ? health.successes + 1 : 0;
  const step = CHART.step(
    health.state,
    isSuccess ? HealthEvent.SUCCEED : HealthEvent.FAIL,
    guard =>
      guard === 'isProven' ? successes >= PROVEN_SUCCESSES : backoff.level >= 1,
  );
  const pauseMs = step.actions.includes('lengthenPause')
    ? Math.min(MAX_PAUSE_MS, health.pauseMs * 2)
    : health.pauseMs;
  return enterState(
    {...health, backoff, successes, pauseMs},
    step.state,
    nowMs,
  );
}

/** Starts probing a quarantined target once its pause has passed. */
export function resumeHealth(health: AgentHealth, nowMs: number): AgentHealth {
  if (health.state !== HealthState.QUARANTINED) return health;
  if (nowMs < health.resumeAtMs) return health;
  const step = CHART.step(health.state, HealthEvent.RESUME);
  return {...health, state: step.state, successes: 0};
}

/** Resets the health after another target instance has replaced this one. */
export function replaceTarget(health: AgentHealth): AgentHealth {
  const step = CHART.step(health.state, HealthEvent.REPLACE);
  return {...HEALTHY, state: step.state};
}

/** Returns how many tasks may be outstanding at the target. */
export function limitConcurrency(health: AgentHealth): number {
  switch (health.state) {
    case HealthState.TRUSTED:
      return Infinity;
    case HealthState.QUARANTINED:
      return 0;
    case HealthState.PROBING:
      return 1;
  }
}

function enterState(
  health: AgentHealth,
  state: HealthState,
  nowMs: number,
): AgentHealth {
  if (state === health.state) return health;
  if (state === HealthState.QUARANTINED) {
    return {...health, state, resumeAtMs: nowMs + health.pauseMs};
  }
  return {
    ...health,
    state,
    backoff: {level: BACKOFF_AFTER_PROBES},
    pauseMs: FIRST_PAUSE_MS,
  };
}
