/** Options of the dispatcher of an entry. */
import type {
  Defer,
  DrawRandom,
  ReadMonotonicMs,
  StartTimer,
} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import type {PlacementPolicy} from '../decisions/choose_agent.js';
import type {KeyTableLimits} from '../decisions/idempotency_key_table.js';
import type {RankJob} from '../decisions/rank_job.js';
import type {PlannerLimits} from '../decisions/work_planner.js';
import type {PresenceState} from './agent_session.js';
import type {EndedJob, EndedTask} from './running_job.js';

/** Dependencies and limits of the dispatcher. */
export interface DispatcherOptions {
  readonly identity: ProcessIdentity;
  readonly keyTableLimits: KeyTableLimits;
  readonly limits: PlannerLimits;
  /** Time in milliseconds that a disconnected agent has to reconnect. */
  readonly returnLimitMs: number;
  readonly policy: PlacementPolicy;
  readonly rankJob: RankJob;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Runs a callback after this turn of the event loop, to batch messages. */
  readonly defer: Defer;
  readonly drawRandom: DrawRandom;
  /** Receives the ended incarnations whose sessions are held here. */
  readonly publishHeld: (incarnations: readonly string[]) => void;
  readonly reportAgent: (state: PresenceState, agent: ProcessIdentity) => void;
  readonly reportJob: (ended: EndedJob) => void;
  readonly reportTask: (ended: EndedTask) => void;
  /** Called repeatedly while no job runs after `REFUSE_WORK`. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}
