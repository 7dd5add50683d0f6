/** Crashes of targets and the runs that may have caused them, as told between agents and entries. */
/** What is known of a run on a target that has crashed. */
export enum RunEvidence {
  /** The target had accepted or listed it, and it had not ended by the first sign of the crash. */
  RAN = 'ran',
  /** Its order may not have arrived, or the run may have been over. */
  UNKNOWN = 'unknown',
}

/** A crash that counts against a task. */
export interface CountedCrash {
  /** Incarnation of the target that crashed. */
  readonly life: string;
  readonly evidence: RunEvidence;
}

/** What is known of a task that may have crashed targets. */
export interface CrashSuspicion {
  /** Number of targets that have crashed while it may have run there. */
  readonly crashes: number;
  /** Probability that it crashes the targets that start it. */
  readonly blame: number;
  /** These crashes; not sent by earlier versions. */
  readonly counted?: readonly CountedCrash[];
  /** Name of its queue. */
  readonly queue?: string;
}

/** A run that may have been in progress on a target that crashed. */
export interface CrashedRun {
  readonly task: string;
  readonly job: string;
  /** Time from the start order to the first sign of the crash, in milliseconds. */
  readonly ranMs: number;
  /** Not sent by earlier versions, which reported runs of which nothing was known. */
  readonly evidence?: RunEvidence;
  /** What its order told of earlier crashes. */
  readonly suspicion?: CrashSuspicion;
}

/** A crash of a target, as proven by its agent. */
export interface TargetCrash {
  /** Incarnation of the target that crashed. */
  readonly life: string;
  /** Time in milliseconds since the agent recorded it. */
  readonly ageMs: number;
  readonly runs: readonly CrashedRun[];
}
