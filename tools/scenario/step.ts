/** The steps of a scenario, after the file has been read and checked. */

/** What the tasks of a job do at their target. */
export enum Deed {
  SLEEP = 'sleep',
  ECHO = 'echo',
  FAIL = 'fail',
  HANG = 'hang',
  LARGE = 'large',
}

/** The body of a job. */
export interface JobShape {
  readonly tasks: number;
  readonly deed: Deed;
  readonly ms: number;
  readonly bytes: number;
  /** Number of tasks, counted from the first, that fail instead. */
  readonly failing: number;
  readonly deadlineMs: number;
  readonly team: string;
}

/** Kinds of step. */
export enum StepKind {
  START = 'start',
  SUBMIT = 'submit',
  RESUBMIT = 'resubmit',
  LOAD = 'load',
  END_LOAD = 'endLoad',
  CANCEL = 'cancel',
  KILL = 'kill',
  FREEZE = 'freeze',
  THAW = 'thaw',
  STOP = 'stop',
  RESTART = 'restart',
  ROLL = 'roll',
  LINK = 'link',
  STORE = 'store',
  DATA_CENTRE = 'dataCentre',
  RECORD = 'record',
  PUT_VALUE = 'putValue',
  TARGET = 'target',
  MARK = 'mark',
  OBSERVE = 'observe',
  AWAIT = 'await',
  PARALLEL = 'parallel',
}

/** A step on one or more processes. */
export interface ProcessStepOf<K extends StepKind> {
  readonly kind: K;
  readonly processes: readonly string[];
}

/** A step on one or more processes, of any kind. */
export type ProcessStep =
  | ProcessStepOf<StepKind.START>
  | ProcessStepOf<StepKind.KILL>
  | ProcessStepOf<StepKind.FREEZE>
  | ProcessStepOf<StepKind.THAW>
  | ProcessStepOf<StepKind.STOP>
  | ProcessStepOf<StepKind.RESTART>;

/** Submits one job. */
export interface SubmitStep {
  readonly kind: StepKind.SUBMIT;
  readonly name: string;
  readonly via: string;
  /** Entry that mints the session; the one submitted to unless stated. */
  readonly sessionFrom: string;
  /** Entries that get the same submission, same key, at the same time. */
  readonly alsoVia: readonly string[];
  readonly isKeyed: boolean;
  readonly inBackground: boolean;
  readonly job: JobShape;
}

/** Submits a job's body once more under its key, or another body. */
export interface ResubmitStep {
  readonly kind: StepKind.RESUBMIT;
  readonly of: string;
  readonly name: string;
  readonly via: string;
  readonly inBackground: boolean;
  readonly isOtherBody: boolean;
}

/** Submits jobs at a steady rate until it is ended. */
export interface LoadStep {
  readonly kind: StepKind.LOAD;
  readonly name: string;
  readonly via: readonly string[];
  readonly everyMs: number;
  readonly jobsAtMost: number;
  /** Every so-manieth job is submitted twice, through the next entry; 0: none. */
  readonly resubmitEvery: number;
  /** Whether jobs that are said not to have run are submitted again. */
  readonly retries: boolean;
  readonly job: JobShape;
}

/** Ends a load and waits for the answers that are due. */
export interface EndLoadStep {
  readonly kind: StepKind.END_LOAD;
  readonly name: string;
  readonly withinMs: number;
}

/** Cancels a submitted job by its key. */
export interface CancelStep {
  readonly kind: StepKind.CANCEL;
  readonly of: string;
  readonly via: string;
}

/** Replaces processes one after the other: stop, wait for the end, start. */
export interface RollStep {
  readonly kind: StepKind.ROLL;
  readonly processes: readonly string[];
  readonly withinMs: number;
}

/** What a relay can be told. */
export enum LinkMode {
  /** Bytes are held until the link is restored. */
  CUT = 'cut',
  /** As `CUT`, from the client to the server only. */
  CUT_FORWARD = 'cut-forward',
  /** As `CUT`, from the server to the client only. */
  CUT_BACK = 'cut-back',
  /** Connections are closed and new ones refused. */
  CLOSE = 'close',
  /** Connections are reset once; new ones are passed on. */
  RESET = 'reset',
  SLOW = 'slow',
  RESTORE = 'restore',
}

/** Changes a relay. */
export interface LinkStep {
  readonly kind: StepKind.LINK;
  readonly name: string;
  readonly mode: LinkMode;
  readonly delayMs: number;
}

/** What the stand-in store can be told. */
export enum StoreMode {
  UP = 'up',
  DOWN = 'down',
  HANG = 'hang',
  SLOW = 'slow',
  STALE = 'stale',
  LOSE_NEXT_REPLY = 'lose-next-reply',
  LOSE_ALL_REPLIES = 'lose-all-replies',
  CUT_WATCHES = 'cut-watches',
  COMPACT = 'compact',
  /** Leases end by time while the store is down, too. */
  LEASES_EXPIRE = 'leases-expire',
}

/** Changes the stand-in store. */
export interface StoreStep {
  readonly kind: StepKind.STORE;
  readonly mode: StoreMode;
  readonly slowMs: number;
  /** Change as of which a stale store answers. */
  readonly revisionOf: string;
}

/** Takes a data centre out of service or back in. */
export interface DataCentreStep {
  readonly kind: StepKind.DATA_CENTRE;
  /** Names the change for conditions and expectations. */
  readonly change: string;
  readonly name: string;
  readonly service: 'in' | 'out';
  readonly via: string;
  /** Whether the step fails unless the change is accepted. */
  readonly mustBeAccepted: boolean;
}

/** Writes a record through the administration API. */
export interface RecordStep {
  readonly kind: StepKind.RECORD;
  readonly change: string;
  readonly via: string;
  readonly record: {kind: string; name: string; spec: object};
  /** Statuses that the administration API may answer. */
  readonly statuses: readonly number[];
}

/** Writes a value straight into the store, as a faulty writer would. */
export interface PutValueStep {
  readonly kind: StepKind.PUT_VALUE;
  readonly key: string;
  readonly value: string;
}

/** What a stand-in target can be told. */
export enum TargetMode {
  NORMAL = 'normal',
  FAIL_ALL = 'fail-all',
  HANG = 'hang',
  SLOW = 'slow',
  SILENT = 'silent',
  LEAVE = 'leave',
}

/** Changes a target. */
export interface TargetStep {
  readonly kind: StepKind.TARGET;
  readonly name: string;
  readonly mode: TargetMode;
  readonly factor: number;
  /** Names the moment for `startsAtLeftTarget`. */
  readonly change: string;
}

/** Names a moment, as if something had been accepted then. */
export interface MarkStep {
  readonly kind: StepKind.MARK;
  readonly change: string;
  readonly subject: string;
  /** `left` or `back` for a target; free for other subjects. */
  readonly to: string;
}

/** Keeps everything as it is for a stretch of time, under whatever load runs. */
export interface ObserveStep {
  readonly kind: StepKind.OBSERVE;
  readonly ms: number;
}

/** Kinds of condition that can be awaited. */
export enum ConditionKind {
  READY = 'ready',
  EXITED = 'exited',
  ANSWERED = 'answered',
  STARTED = 'started',
  ANSWERS = 'answers',
  STARTS_IN = 'startsIn',
  STARTS_AT = 'startsAt',
  IN_FORCE = 'inForce',
  TARGETS_PRESENT = 'targetsPresent',
}

/** Waits until a condition holds; fails when the bound passes first. */
export interface AwaitStep {
  readonly kind: StepKind.AWAIT;
  readonly condition: ConditionKind;
  /** Processes, submissions, a data centre, a target or a change. */
  readonly of: readonly string[];
  readonly atLeast: number;
  readonly withinMs: number;
}

/** Runs steps at the same time. */
export interface ParallelStep {
  readonly kind: StepKind.PARALLEL;
  readonly steps: readonly Step[];
}

/** One step of a scenario. */
export type Step =
  | ProcessStep
  | SubmitStep
  | ResubmitStep
  | LoadStep
  | EndLoadStep
  | CancelStep
  | RollStep
  | LinkStep
  | StoreStep
  | DataCentreStep
  | RecordStep
  | PutValueStep
  | TargetStep
  | MarkStep
  | ObserveStep
  | AwaitStep
  | ParallelStep;
