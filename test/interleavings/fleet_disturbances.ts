/** Knows which processes were disturbed when. */
import type {VirtualTime} from './virtual_time.js';
import {WorkStepKind} from './work_step.js';
import type {WorkStep} from './work_step.js';

/** Time in milliseconds without disturbance after which a process is in touch. */
const CONTACT_MS = 3000;

/** Kinds of steps that disturb an agent's process or its links. */
const AGENT_KINDS: ReadonlySet<WorkStepKind> = new Set([
  WorkStepKind.FREEZE_AGENT,
  WorkStepKind.SUSPEND_AGENT,
  WorkStepKind.RESTART_AGENT,
  WorkStepKind.CUT_LINK,
  WorkStepKind.RESET_LINKS,
  WorkStepKind.DELAY_STREAMS,
]);

/** Kinds of steps that disturb an entry's process or its links. */
const ENTRY_KINDS: ReadonlySet<WorkStepKind> = new Set([
  WorkStepKind.FREEZE_ENTRY,
  WorkStepKind.RESTART_ENTRY,
  WorkStepKind.CUT_LINK,
  WorkStepKind.RESET_LINKS,
  WorkStepKind.DELAY_STREAMS,
]);

interface Disturbance {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Index of the agent; undefined for an entry, which every run may concern. */
  readonly agent: number | undefined;
}

/** Records the disturbances of a virtual site. */
export class FleetDisturbances {
  private readonly disturbances: Disturbance[] = [];

  private constructor(private readonly time: VirtualTime) {}

  /** Creates a record of a calm site. */
  static create(time: VirtualTime): FleetDisturbances {
    return new FleetDisturbances(time);
  }

  /** Records what a step disturbs. */
  record({kind, agent, durationMs}: WorkStep): void {
    const fromMs = this.time.nowMs;
    const untilMs = fromMs + durationMs;
    if (AGENT_KINDS.has(kind)) {
      this.disturbances.push({fromMs, untilMs, agent});
    }
    if (ENTRY_KINDS.has(kind)) {
      this.disturbances.push({fromMs, untilMs, agent: undefined});
    }
  }

  /** Returns whether an agent and all entries were in touch at a time. */
  isInTouch(agent: number, atMs: number): boolean {
    return !this.disturbances.some(
      disturbance =>
        (disturbance.agent ?? agent) === agent &&
        atMs >= disturbance.fromMs &&
        atMs <= disturbance.untilMs + CONTACT_MS,
    );
  }
}
