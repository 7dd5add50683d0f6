/** Messages that the dispatcher of an entry handles, and its replies. */
import type {JobSpecification, Problem} from '../core/job.js';
import type {
  AgentFrame,
  AgentHello,
  EntryFrame,
} from '../core/link_messages.js';
import type {JobState} from '../decisions/job_charts.js';
import type {JobAnswer} from '../decisions/job_run.js';
import type {SessionSnapshot} from '../decisions/idempotency_key_table.js';
import type {
  ConfigurationEvidence,
  ConfigurationView,
} from '../records/configuration_view.js';

/** Kinds of message that the dispatcher handles. */
export enum DispatcherMessageKind {
  OPEN_SESSION = 'open-session',
  SUBMIT = 'submit',
  LOOK_UP = 'look-up',
  CANCEL = 'cancel',
  AGENT_HELLO = 'agent-hello',
  AGENT_FRAME = 'agent-frame',
  AGENT_CLOSED = 'agent-closed',
  VIEW = 'view',
  EVIDENCE = 'evidence',
  JOB_TIMER = 'job-timer',
  AGENT_TIMER = 'agent-timer',
  TICK = 'tick',
  LEAVE = 'leave',
  REFUSE_WORK = 'refuse-work',
  LIST_KEY_TABLES = 'list-ledgers',
  ADOPT_KEY_TABLE = 'adopt-ledger',
}

/** An idempotency key whose session is held by this entry. */
export interface LocalKey {
  /** Incarnation that minted the session: this one, or one that handed over. */
  readonly owner: string;
  readonly serial: number;
  readonly name: string;
  readonly team: string;
}

/** A job as submitted, before defaults are filled in. */
export interface JobDraft {
  readonly team: string;
  readonly taskClass: string | undefined;
  readonly value: number | undefined;
  readonly deadlineMs: number | undefined;
  readonly tasks: JobSpecification['tasks'];
  readonly trace: string;
}

/** A job that a caller submits. */
export interface SubmitMessage {
  readonly kind: DispatcherMessageKind.SUBMIT;
  readonly key: LocalKey | undefined;
  /** Digest of the request body; empty without a key. */
  readonly digest: string;
  readonly draft: JobDraft;
  /** True if the caller wants a reply once the job is accepted. */
  readonly isDetached: boolean;
  readonly reply: Reply;
}

/** Every message that the dispatcher handles. */
export type DispatcherMessage =
  | {
      readonly kind: DispatcherMessageKind.OPEN_SESSION;
      readonly team: string;
      readonly reply: Reply;
    }
  | SubmitMessage
  | {
      readonly kind:
        DispatcherMessageKind.LOOK_UP | DispatcherMessageKind.CANCEL;
      readonly key: LocalKey;
      readonly reply: Reply;
    }
  | {
      readonly kind: DispatcherMessageKind.AGENT_HELLO;
      readonly stream: AgentStreamHandle;
      readonly hello: AgentHello;
    }
  | {
      readonly kind: DispatcherMessageKind.AGENT_FRAME;
      readonly stream: AgentStreamHandle;
      readonly frame: AgentFrame;
    }
  | {
      readonly kind: DispatcherMessageKind.AGENT_CLOSED;
      readonly stream: AgentStreamHandle;
    }
  | {
      readonly kind: DispatcherMessageKind.VIEW;
      readonly view: ConfigurationView;
    }
  | {
      readonly kind: DispatcherMessageKind.EVIDENCE;
      readonly evidence: ConfigurationEvidence;
    }
  | {
      readonly kind: DispatcherMessageKind.JOB_TIMER;
      readonly job: string;
      readonly event: string;
    }
  | {
      readonly kind: DispatcherMessageKind.AGENT_TIMER;
      readonly agent: string;
      readonly event: string;
    }
  | {readonly kind: DispatcherMessageKind.TICK}
  | {readonly kind: DispatcherMessageKind.LEAVE}
  | {readonly kind: DispatcherMessageKind.REFUSE_WORK}
  | {
      readonly kind: DispatcherMessageKind.LIST_KEY_TABLES;
      readonly receive: (keyTables: readonly KeyTableSnapshot[]) => void;
    }
  | {
      readonly kind: DispatcherMessageKind.ADOPT_KEY_TABLE;
      readonly keyTable: KeyTableSnapshot;
      /** Called once this entry answers for the sessions' keys. */
      readonly confirm: () => void;
    };

/** The sessions of one incarnation of an entry, as they are handed over. */
export interface KeyTableSnapshot {
  readonly incarnation: string;
  readonly sessions: readonly SessionSnapshot<JobAnswer>[];
}

/** Kinds of reply to a request. */
export enum ReplyKind {
  SESSION = 'session',
  ANSWER = 'answer',
  PROGRESS = 'progress',
  REFUSAL = 'refusal',
}

/** Why a request was refused. */
export interface Refusal {
  readonly problem: Problem;
  /** True if it is certain that nothing under the key has run or will run. */
  readonly isProvenUnstarted: boolean;
  readonly detail: string;
  /** Suggested delay in milliseconds before a retry; 0 for none. */
  readonly retryAfterMs: number;
}

/** The dispatcher's reply to a request of a caller. */
export type DispatcherReply =
  | {
      readonly kind: ReplyKind.SESSION;
      readonly serial: number;
      readonly team: string;
    }
  | {readonly kind: ReplyKind.ANSWER; readonly answer: JobAnswer}
  | {
      readonly kind: ReplyKind.PROGRESS;
      readonly state: JobState;
      readonly done: number;
      readonly total: number;
    }
  | {readonly kind: ReplyKind.REFUSAL; readonly refusal: Refusal};

/** Called by the dispatcher with the reply to one request. */
export type Reply = (reply: DispatcherReply) => void;

/** The dispatcher's handle of one agent's stream. */
export interface AgentStreamHandle {
  /** Unique among the streams of this process. */
  readonly id: number;
  /** Queues a frame for the agent. */
  readonly send: (frame: EntryFrame) => void;
  /** Closes the stream without waiting for the agent. */
  readonly close: () => void;
}
