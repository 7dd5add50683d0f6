/** Types of the steps of a parsed and validated scenario file. */

/** Behaviour of a task at a stand-in target. */
export enum TaskBehaviour {
  SLEEP = 'sleep',
  ECHO = 'echo',
  FAIL = 'fail',
  HANG = 'hang',
  LARGE = 'large',
}

/** Parameters from which the body of a job is created. */
export interface JobDefinition {
  readonly tasks: number;
  readonly deed: TaskBehaviour;
  readonly ms: number;
  readonly bytes: number;
  /** Number of leading tasks that fail instead. */
  readonly failing: number;
  readonly deadlineMs: number;
  readonly team: string;
}

/** Kinds of step; the values are the keys in scenario files. */
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

/** A step of kind `K` on one or more processes. */
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
  /** Entry that mints the session; defaults to `via`. */
  readonly sessionFrom: string;
  /** Entries that receive the same submission under the same key concurrently. */
  readonly alsoVia: readonly string[];
  readonly isKeyed: boolean;
  readonly inBackground: boolean;
  readonly job: JobDefinition;
}

/** Resubmits a job under its key, with the same or a different body. */
export interface ResubmitStep {
  readonly kind: StepKind.RESUBMIT;
  readonly of: string;
  readonly name: string;
  readonly via: string;
  readonly inBackground: boolean;
  readonly isOtherBody: boolean;
}

/** Submits jobs at a constant rate until an `endLoad` step. */
export interface LoadStep {
  readonly kind: StepKind.LOAD;
  readonly name: string;
  readonly via: readonly string[];
  readonly everyMs: number;
  readonly jobsAtMost: number;
  /** Every n-th job is also submitted through the next entry; 0 disables this. */
  readonly resubmitEvery: number;
  /** Whether jobs that certainly did not run are submitted again. */
  readonly retries: boolean;
  readonly job: JobDefinition;
}

/** Ends a load and waits for its pending answers. */
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

/** Replaces processes one by one: graceful stop, wait for the exit, start. */
export interface RollStep {
  readonly kind: StepKind.ROLL;
  readonly processes: readonly string[];
  readonly withinMs: number;
}

/** Modes of a relay. */
export enum LinkMode {
  /** Holds bytes in both directions until the link is restored. */
  CUT = 'cut',
  /** As `CUT`, from the client to the server only. */
  CUT_FORWARD = 'cut-forward',
  /** As `CUT`, from the server to the client only. */
  CUT_BACK = 'cut-back',
  /** Closes connections and refuses new ones. */
  CLOSE = 'close',
  /** Resets connections once; new ones are forwarded. */
  RESET = 'reset',
  SLOW = 'slow',
  RESTORE = 'restore',
}

/** Changes the mode of a relay. */
export interface LinkStep {
  readonly kind: StepKind.LINK;
  readonly name: string;
  readonly mode: LinkMode;
  readonly delayMs: number;
}

/** Modes and faults of the stand-in store. */
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
  /** Leases also expire while the store is down. */
  LEASES_EXPIRE = 'leases-expire',
}

/** Changes the mode of the stand-in store. */
export interface StoreStep {
  readonly kind: StepKind.STORE;
  readonly mode: StoreMode;
  readonly slowMs: number;
  /** Change whose revision a stale store returns. */
  readonly revisionOf: string;
}

/** Takes a data centre out of service or back in. */
export interface DataCentreStep {
  readonly kind: StepKind.DATA_CENTRE;
  /** Name of the change in conditions and expectations. */
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
  /** Accepted HTTP statuses of the reply. */
  readonly statuses: readonly number[];
}

/** Writes a value directly to the store, as a faulty writer would. */
export interface PutValueStep {
  readonly kind: StepKind.PUT_VALUE;
  readonly key: string;
  readonly value: string;
}

/** Modes of a stand-in target. */
export enum TargetMode {
  NORMAL = 'normal',
  FAIL_ALL = 'fail-all',
  HANG = 'hang',
  SLOW = 'slow',
  SILENT = 'silent',
  LEAVE = 'leave',
}

/** Changes the mode of a stand-in target. */
export interface TargetStep {
  readonly kind: StepKind.TARGET;
  readonly name: string;
  readonly mode: TargetMode;
  readonly factor: number;
  /** Name of the change in `startsAtLeftTarget`; if empty, none is recorded. */
  readonly change: string;
}

/** Records a change as accepted and in force at the time of the step. */
export interface MarkStep {
  readonly kind: StepKind.MARK;
  readonly change: string;
  readonly subject: string;
  /** `left` or `back` for a target; free for other subjects. */
  readonly to: string;
}

/** Waits for a fixed time while the running loads continue. */
export interface ObserveStep {
  readonly kind: StepKind.OBSERVE;
  readonly ms: number;
}

/** Conditions of an `await` step. */
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

/** Waits until a condition holds; fails on timeout. */
export interface AwaitStep {
  readonly kind: StepKind.AWAIT;
  readonly condition: ConditionKind;
  /** Processes, submissions, a data centre, a target or a change. */
  readonly of: readonly string[];
  readonly atLeast: number;
  readonly withinMs: number;
}

/** Runs steps concurrently. */
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
