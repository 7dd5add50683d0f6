/** A heartbeat's claim that another incarnation of a target has started. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';

/** States of `charts/incarnation_claim.yaml`. */
export enum ClaimState {
  WAITING = 'waiting',
  ASKING = 'asking',
  CONFIRMED = 'confirmed',
  DENIED = 'denied',
  REPLACED = 'replaced',
}

/** Events of `charts/incarnation_claim.yaml`. */
export enum ClaimEvent {
  DUE = 'due',
  CONFIRMED = 'confirmed',
  DENIED = 'denied',
  UNANSWERED = 'unanswered',
  EXPIRED = 'expired',
  REPLACED = 'replaced',
}

/** Actions of `charts/incarnation_claim.yaml`. */
export enum ClaimAction {
  ASK = 'ask',
  ADOPT = 'adopt',
  REJECT = 'reject',
}

const CHART = Chart.create<ClaimState, ClaimEvent>(
  readChart('incarnation_claim'),
  {
    states: ClaimState,
    events: ClaimEvent,
    actions: Object.values(ClaimAction),
  },
);

/** Time in milliseconds after which a call without a usable answer is repeated. */
const ASK_PERIOD_MS = 150;

/** Time in milliseconds for which a claim is kept without another heartbeat of it. */
export const CLAIM_RETENTION_MS = 5000;

/**
 * Life cycle of one claim. Anybody may send a heartbeat, so it proves nothing about
 * the known incarnation: only the target's own answer does.
 */
export class IncarnationClaim {
  private current: ClaimState = CHART.initial;
  private askedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private heardAtMs: number) {}

  /** Creates the claim of a heartbeat that has just arrived. */
  static create(nowMs: number): IncarnationClaim {
    return new IncarnationClaim(nowMs);
  }

  /** The current state. */
  get state(): ClaimState {
    return this.current;
  }

  /** Monotonic time in milliseconds of the latest heartbeat that made the claim. */
  get lastHeardMs(): number {
    return this.heardAtMs;
  }

  /** Records another heartbeat that makes the claim. */
  recordHeartbeat(nowMs: number): void {
    this.heardAtMs = nowMs;
  }

  /** Handles an event; returns the actions to perform. */
  send(event: ClaimEvent, nowMs: number): readonly ClaimAction[] {
    const {state, actions} = CHART.step(this.current, event);
    this.current = state;
    if (state === ClaimState.ASKING) this.askedAtMs = nowMs;
    return actions as ClaimAction[];
  }

  /** Returns the actions that time has made due. */
  advance(nowMs: number): readonly ClaimAction[] {
    if (this.current !== ClaimState.WAITING) return [];
    if (nowMs - this.heardAtMs >= CLAIM_RETENTION_MS) {
      return this.send(ClaimEvent.EXPIRED, nowMs);
    }
    if (nowMs - this.askedAtMs < ASK_PERIOD_MS) return [];
    return this.send(ClaimEvent.DUE, nowMs);
  }
}
