/** What the runner of an agent is given. */
import type {Defer, ReadMonotonicMs, StartTimer} from '../core/clock.js';
import type {ProcessIdentity} from '../core/identity.js';
import type {AgentConfiguration} from '../core/link_messages.js';
import type {Post} from '../core/task.js';
import type {DataCentreState} from '../decisions/start_permission.js';
import type {LinkMessage, TargetMessage} from './runner_messages.js';

/** What the runner needs to be created. */
export interface RunnerOptions {
  readonly identity: ProcessIdentity;
  readonly queueLimit: number;
  readonly permissionFreshMs: number;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly startTimer: StartTimer;
  /** Gathers what one turn of the event loop produced before it is sent. */
  readonly defer: Defer;
  /** Hands a message to the link of that address. */
  readonly postToLink: (link: string, message: LinkMessage) => void;
  readonly postToTarget: Post<TargetMessage>;
  /** Is told of every newer configuration. */
  readonly publishConfiguration: (configuration: AgentConfiguration) => void;
  /** Is told when the permission's state changes. */
  readonly reportPermission: (state: DataCentreState) => void;
  /** Is told when nothing waits, runs or is unacknowledged after `LEAVE`. */
  readonly reportIdle: () => void;
  readonly reportFailure: (failure: unknown, message: unknown) => void;
}
