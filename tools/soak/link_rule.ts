/** Rules of a relayed link, from the faults that apply to it. */
import {FaultDirection, FaultKind} from './fault.js';
import type {LinkFault} from './fault.js';

/** What happens to the bytes of one direction. */
export interface FlowRule {
  readonly isHeld: boolean;
  readonly isLost: boolean;
  readonly delayMs: number;
}

/** What happens on the link of one agent and one entry. */
export interface LinkRule {
  readonly fromAgent: FlowRule;
  readonly fromEntry: FlowRule;
  /** Whether connections are refused. */
  readonly isRefused: boolean;
}

/** The rule of a link without faults. */
export const SOUND_LINK: LinkRule = composeRule([]);

/** Combines the faults that apply to a link at a time. */
export function composeRule(faults: readonly LinkFault[]): LinkRule {
  return {
    fromAgent: composeFlow(faults, FaultDirection.FROM_AGENT),
    fromEntry: composeFlow(faults, FaultDirection.FROM_ENTRY),
    isRefused: faults.some(({kind}) => kind === FaultKind.REFUSE),
  };
}

function composeFlow(
  faults: readonly LinkFault[],
  direction: FaultDirection,
): FlowRule {
  const applied = faults.filter(
    fault =>
      fault.direction === direction || fault.direction === FaultDirection.BOTH,
  );
  const delays = applied
    .filter(({kind}) => kind === FaultKind.DELAY)
    .map(({delayMs}) => delayMs);
  return {
    isHeld: applied.some(({kind}) => kind === FaultKind.HOLD),
    isLost: applied.some(({kind}) => kind === FaultKind.LOSE),
    delayMs: Math.max(0, ...delays),
  };
}
