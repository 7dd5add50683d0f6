/** Options of the agent's runner. */
import type {Defer, ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import type {AgentConfiguration} from '../core/link_messages.js';
import type {Post} from '../core/task.js';
import type {DataCentreState} from '../decisions/start_permission.js';
import type {LinkMessage, TargetMessage} from './runner_messages.js';

/** Options of `Runner.create`. */
export interface RunnerOptions {
  readonly identity: ProcessIdentity;
  readonly queueLimit: number;
  readonly permissionFreshMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Defers sending, to batch the reports of one turn of the event loop. */
  readonly defer: Defer;
  /** Posts a message to the link of an address. */
  readonly postToLink: (link: string, message: LinkMessage) => void;
  readonly postToTarget: Post<TargetMessage>;
  /** Called with every newer configuration. */
  readonly publishConfiguration: (configuration: AgentConfiguration) => void;
  /** Called when the state of the permission changes. */
  readonly reportPermission: (state: DataCentreState) => void;
  /** Called after `LEAVE` when no task is queued, running or unacknowledged. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}
