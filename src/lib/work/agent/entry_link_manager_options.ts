/** Types in the interface of the entry link manager. */
import type {
  DrawRandom,
  ReadMonotonicMs,
  ReadSystemMs,
  StartTimer,
} from '../../core/clock.js';
import type {Post} from '../../core/task.js';
import type {AgentFrame, EntryFrame} from '../../core/work_frames.js';
import type {LineFields} from '../../observe/request_log.js';
import type {OpenFrameStream} from '../link/frame_stream.js';
import type {RunnerMessage} from './runner_messages.js';

/** Dependencies of the link manager. */
export interface EntryLinkManagerOptions {
  /** Name of the agent, which determines its preference of entries. */
  readonly agent: string;
  /** Initial addresses, `host:port`; these are never dropped. */
  readonly seeds: readonly string[];
  readonly open: OpenFrameStream<AgentFrame, EntryFrame>;
  /** Looks up the entries' addresses; called while no link is open. */
  readonly findEntries: () => Promise<readonly string[]>;
  readonly createPing: (entry: string, sentAtMs: number) => AgentFrame;
  /** Sends the load to an entry if it has changed since its last report. */
  readonly reportLoad: (entry: string) => void;
  readonly post: Post<RunnerMessage>;
  readonly readMonotonicMs: ReadMonotonicMs;
  readonly readSystemMs: ReadSystemMs;
  readonly startTimer: StartTimer;
  readonly drawRandom: DrawRandom;
  /** Called with the link's description when it opens or ends. */
  readonly reportLink: (
    isOpen: boolean,
    detail: string,
    fields: LineFields,
  ) => void;
  readonly reportFailure: (failure: unknown) => void;
}
