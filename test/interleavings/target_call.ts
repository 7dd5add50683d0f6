/** A call of an agent to a virtual target, and its answer. */
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import type {
  HoldAnswer,
  OrderAnswer,
  TargetHeartbeat,
} from '../../src/lib/work/agent/target_api.js';
import type {VirtualTargetLife} from './virtual_target_life.js';

/** A call and what its execution does. */
export interface TargetCall<Body> {
  /** Id and incarnation to which the call is addressed. */
  readonly addressee: Pick<TargetHeartbeat, 'id' | 'incarnation'>;
  readonly name: string;
  readonly body: Body;
  readonly timeoutMs: number;
  readonly execute: (
    life: VirtualTargetLife,
    body: Body,
    answer: (answer: HoldAnswer) => void,
    isLate: boolean,
  ) => void;
}

/** Extends the answer to an order by empty lists. */
export function extend(answer: OrderAnswer): HoldAnswer {
  return {...answer, running: [], ended: []};
}

/** Creates an answer without lists. */
export function createAnswer(outcome: OrderOutcome, reason = ''): HoldAnswer {
  return {outcome, reason, clockMs: 0, running: [], ended: []};
}
