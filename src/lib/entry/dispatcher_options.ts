/** What the dispatcher of an entry is given. */
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

/** What the dispatcher needs to be created. */
export interface DispatcherOptions {
  readonly identity: ProcessIdentity;
  readonly keyTableLimits: KeyTableLimits;
  readonly limits: PlannerLimits;
  /** How long a broken stream may take to return, in milliseconds. */
  readonly returnLimitMs: number;
  readonly policy: PlacementPolicy;
  readonly rankJob: RankJob;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Gathers what one turn of the event loop produced before it is sent. */
  readonly defer: Defer;
  readonly drawRandom: DrawRandom;
  /** Is told of the ended lives whose sessions are held here. */
  readonly publishHeld: (incarnations: readonly string[]) => void;
  readonly reportAgent: (state: PresenceState, agent: ProcessIdentity) => void;
  readonly reportJob: (ended: EndedJob) => void;
  readonly reportTask: (ended: EndedTask) => void;
  /** Is told, as long as it lasts, that no job runs after `REFUSE_WORK`. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}
