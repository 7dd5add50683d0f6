/** Simulates one life of a target, by the rules of its protocol. */
import {RunEnd} from '../../src/lib/core/work_frames.js';
import type {ListedEnd} from '../../src/lib/decisions/run_command.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import type {
  HoldAnswer,
  HoldCall,
  OrderAnswer,
  StartCall,
  StopCall,
} from '../../src/lib/work/agent/target_api.js';
import {parseLoad} from './task_load.js';
import type {CrashLoad} from './task_load.js';
import type {VirtualTime} from './virtual_time.js';

/** A run in progress; it counts until its end is listed. */
export interface VirtualRun {
  readonly target: string;
  readonly life: string;
  readonly task: string;
  readonly run: number;
  readonly startedAtMs: number;
  readonly runMs: number;
  /** Whether its order was carried out late. */
  readonly isLate: boolean;
  isStopping: boolean;
}

/** Settings and callbacks of a life. */
export interface TargetLifeOptions {
  readonly time: VirtualTime;
  readonly drawRandom: () => number;
  readonly target: string;
  readonly life: string;
  /** Crashes the target for a time. */
  readonly crash: (downMs: number) => void;
  /** Returns whether a task of which the payload says so crashes its target. */
  readonly allowCrash?: (run: VirtualRun, crashesAtMost: number) => boolean;
  /** Called before a run begins, which the target does not prevent. */
  readonly reportStart: (run: VirtualRun) => void;
  readonly reportEnd: (run: VirtualRun, end: RunEnd) => void;
}

/** Most that a lease may lie ahead of the target's clock, in milliseconds. */
const MAX_LEASE_MS = 1000;
const MAX_STOP_MS = 50;
/** Times in milliseconds after which a target is up that a task has crashed. */
const MIN_DOWN_MS = 100;
const MAX_ADDED_DOWN_MS = 1900;
/** A target's clock may be slow by up to this share. */
const MAX_DRIFT = 0.02;

/** Runs, ends, lease and fence of one life. */
export class VirtualTargetLife {
  readonly runs = new Map<string, VirtualRun>();
  isOver = false;
  private ends: ListedEnd[] = [];
  private lastEnd = 0;
  private token = 0;
  private deadlineMs = 0;
  private readonly closed = new Map<string, number>();
  private waiting: Array<() => void> = [];
  private readonly rate: number;
  private readonly bornAtMs: number;

  private constructor(private readonly options: TargetLifeOptions) {
    this.rate = 1 - MAX_DRIFT * options.drawRandom();
    this.bornAtMs = options.time.nowMs;
  }

  /** Creates a life that runs nothing. */
  static create(options: TargetLifeOptions): VirtualTargetLife {
    return new VirtualTargetLife(options);
  }

  /** Name of the life. */
  get name(): string {
    return this.options.life;
  }

  /** Time since the start by the target's own clock, in whole milliseconds. */
  get clockMs(): number {
    const elapsedMs = this.options.time.nowMs - this.bornAtMs;
    return Math.floor(elapsedMs * this.rate) + 1;
  }

  /** Carries out a start. */
  start(call: StartCall, isLate: boolean): OrderAnswer {
    const {task, run, deadlineMs} = call;
    if (!this.admitToken(call.fencingToken)) return this.refuse('fence');
    if (deadlineMs < this.clockMs) return this.refuse('late');
    this.extendLease(deadlineMs);
    const key = `${task}#${run}`;
    if (this.runs.has(key)) return this.accept();
    if (run <= (this.closed.get(task) ?? 0)) return this.refuse('old');
    const {time, target, life, reportStart} = this.options;
    const {runMs, crash} = parseLoad(call.payload, task);
    const started: VirtualRun = {
      target,
      life,
      task,
      run,
      startedAtMs: time.nowMs,
      runMs,
      isLate,
      isStopping: false,
    };
    reportStart(started);
    this.runs.set(key, started);
    time.schedule(runMs, () => this.end(started, RunEnd.DONE));
    if (crash !== undefined) this.scheduleCrash(started, crash);
    return this.accept();
  }

  /** Carries out a stop. */
  stop({task, run, fencingToken}: StopCall): OrderAnswer {
    if (!this.admitToken(fencingToken)) return this.refuse('fence');
    this.close(task, run);
    const known = this.runs.get(`${task}#${run}`);
    if (known !== undefined && !known.isStopping) {
      known.isStopping = true;
      const delayMs = this.options.drawRandom() * MAX_STOP_MS;
      this.options.time.schedule(delayMs, () =>
        this.end(known, RunEnd.STOPPED),
      );
    }
    return this.accept();
  }

  /** Carries out a hold; the answer may wait for an end. */
  renew(call: HoldCall, answer: (lists: HoldAnswer) => void): void {
    if (!this.admitToken(call.fencingToken)) {
      answer({...this.refuse('fence'), running: [], ended: []});
      return;
    }
    if (call.deadlineMs > 0) this.extendLease(call.deadlineMs);
    this.ends = this.ends.filter(({number}) => number > call.lastEndNumber);
    let isAnswered = false;
    const finish = () => {
      if (isAnswered) return;
      isAnswered = true;
      answer(this.isOver ? createBroken() : this.list());
    };
    if (this.ends.length > 0 || call.waitMs === 0) {
      finish();
      return;
    }
    this.waiting.push(finish);
    this.options.time.schedule(call.waitMs, finish);
  }

  /**
   * Ends the life with all its runs; nothing lists their ends.
   *
   * @param noticeMs Time until its connections break.
   */
  kill(noticeMs: number): void {
    this.isOver = true;
    for (const run of this.runs.values()) {
      this.options.reportEnd(run, RunEnd.LOST);
    }
    this.runs.clear();
    if (noticeMs > 0) this.options.time.schedule(noticeMs, () => this.notify());
    else this.notify();
  }

  private scheduleCrash(
    run: VirtualRun,
    {afterMs, crashesAtMost}: CrashLoad,
  ): void {
    const {time, drawRandom, allowCrash, crash} = this.options;
    time.schedule(afterMs, () => {
      const isRunning = this.runs.get(`${run.task}#${run.run}`) === run;
      if (this.isOver || !isRunning) return;
      if (allowCrash?.(run, crashesAtMost) !== true) return;
      crash(MIN_DOWN_MS + drawRandom() * MAX_ADDED_DOWN_MS);
    });
  }

  private list(): HoldAnswer {
    const {nowMs} = this.options.time;
    const running = [...this.runs.values()].map(
      ({task, run, startedAtMs, runMs}) => ({
        task,
        run,
        percent: Math.floor((100 * (nowMs - startedAtMs)) / runMs),
      }),
    );
    return {...this.accept(), running, ended: [...this.ends]};
  }

  private admitToken(token: number): boolean {
    if (token < this.token) return false;
    this.token = token;
    return true;
  }

  private extendLease(deadlineMs: number): void {
    const limitedMs = Math.min(deadlineMs, this.clockMs + MAX_LEASE_MS);
    if (limitedMs <= this.deadlineMs) return;
    this.deadlineMs = limitedMs;
    const delayMs = (limitedMs + 1 - this.clockMs) / this.rate;
    this.options.time.schedule(Math.max(0, delayMs) + 1, () => {
      if (this.clockMs <= this.deadlineMs) return;
      for (const run of [...this.runs.values()]) this.end(run, RunEnd.LOST);
    });
  }

  private end(run: VirtualRun, end: RunEnd): void {
    const key = `${run.task}#${run.run}`;
    if (this.isOver || this.runs.get(key) !== run) return;
    this.runs.delete(key);
    this.close(run.task, run.run);
    this.lastEnd += 1;
    const {task, run: number} = run;
    this.ends.push({number: this.lastEnd, task, run: number, end});
    this.options.reportEnd(run, end);
    this.notify();
  }

  private close(task: string, run: number): void {
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0));
  }

  private notify(): void {
    const {waiting} = this;
    this.waiting = [];
    for (const finish of waiting) finish();
  }

  private accept(): OrderAnswer {
    const {clockMs} = this;
    return {outcome: OrderOutcome.ACCEPTED, reason: '', clockMs};
  }

  private refuse(reason: string): OrderAnswer {
    return {outcome: OrderOutcome.REFUSED, reason, clockMs: this.clockMs};
  }
}

function createBroken(): HoldAnswer {
  const outcome = OrderOutcome.BROKEN;
  return {outcome, reason: '', clockMs: 0, running: [], ended: []};
}
