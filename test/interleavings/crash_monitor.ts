/** Knows under which tasks targets have crashed, as the targets themselves saw it. */
import {RunEnd} from '../../src/lib/core/work_frames.js';
import type {VirtualRun, VirtualTargetLife} from './virtual_target_life.js';
import type {VirtualTime} from './virtual_time.js';

/** A crash of a target while a task ran there. */
export interface TaskCrash {
  readonly life: string;
  readonly atMs: number;
}

/** A start of a task. */
export interface TaskStart {
  readonly run: VirtualRun;
  readonly atMs: number;
}

/** What the targets saw of one task. */
export interface TaskHistory {
  readonly starts: TaskStart[];
  /** Crashes of targets under it, in the order of their times. */
  readonly crashes: TaskCrash[];
  /** Times of its ends as failed. */
  readonly failedAtMs: number[];
  /** Number of targets that it has crashed itself. */
  caused: number;
  /** Times at which it crashed those that had not said that they drain. */
  readonly unannouncedAtMs: number[];
}

/** Records what happens at the targets, by task. */
export class CrashMonitor {
  private readonly tasks = new Map<string, TaskHistory>();

  private constructor(private readonly time: VirtualTime) {}

  /** Creates a monitor of targets that have run nothing. */
  static create(time: VirtualTime): CrashMonitor {
    return new CrashMonitor(time);
  }

  /** Lists the tasks that have started, with their histories. */
  list(): Array<[task: string, history: TaskHistory]> {
    return [...this.tasks];
  }

  /** Lists the histories of the tasks of a job. */
  listJob(job: string): TaskHistory[] {
    return this.list()
      .filter(([task]) => task.startsWith(`${job}.`))
      .map(([, history]) => history);
  }

  /** Records a start. */
  recordStart(run: VirtualRun): void {
    this.find(run.task).starts.push({run, atMs: this.time.nowMs});
  }

  /** Records the end of a run. */
  recordEnd({task}: VirtualRun, end: RunEnd): void {
    if (end !== RunEnd.FAILED) return;
    this.find(task).failedAtMs.push(this.time.nowMs);
  }

  /** Records that a life of a target crashes under all that runs there. */
  recordCrash({name: life, runs}: VirtualTargetLife): void {
    const atMs = this.time.nowMs;
    for (const {task} of runs.values()) {
      this.find(task).crashes.push({life, atMs});
    }
  }

  /** Returns whether a task crashes its target once more, and counts it. */
  allowCrash(
    {task}: VirtualRun,
    crashesAtMost: number,
    isDraining: boolean,
  ): boolean {
    const history = this.find(task);
    if (history.caused >= crashesAtMost) return false;
    history.caused += 1;
    if (!isDraining) history.unannouncedAtMs.push(this.time.nowMs);
    return true;
  }

  private find(task: string): TaskHistory {
    const known = this.tasks.get(task);
    if (known !== undefined) return known;
    const history = {
      starts: [],
      crashes: [],
      failedAtMs: [],
      caused: 0,
      unannouncedAtMs: [],
    };
    this.tasks.set(task, history);
    return history;
  }
}
