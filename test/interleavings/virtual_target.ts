/** Simulates a target beside an agent: its lives, its heartbeats and the calls to it. */
import {TargetPhase} from '../../src/lib/core/work_frames.js';
import type {RunEnd} from '../../src/lib/core/work_frames.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import type {
  HoldAnswer,
  TargetConnection,
  TargetHeartbeat,
} from '../../src/lib/work/agent/target_api.js';
import {CallFate, CallSpells} from './call_spells.js';
import {createAnswer, extend} from './target_call.js';
import type {TargetCall} from './target_call.js';
import type {VirtualProcess} from './virtual_process.js';
import {VirtualTargetLife} from './virtual_target_life.js';
import type {VirtualRun} from './virtual_target_life.js';
import type {VirtualTime} from './virtual_time.js';

/** Capacity of each target; each task needs half of it. */
export const TARGET_CAPACITY = {
  cpuMilli: 2000,
  memoryMb: 1000,
  accelerators: 0,
};

/** Options of a target. */
export interface VirtualTargetOptions {
  readonly time: VirtualTime;
  readonly drawRandom: () => number;
  readonly id: string;
  /** Whether the lease time of a late order counts from its arrival. */
  readonly grants: boolean;
  /** Whether the next life has the same id and so takes orders to an earlier one. */
  readonly isIdKept: boolean;
  readonly sendHeartbeat: (heartbeat: TargetHeartbeat) => void;
  /** Called with the start of a life that ends as planned. */
  readonly sendDeregistration?: (startMs: number) => void;
  /** Called with a life that is about to crash. */
  readonly reportCrash?: (life: VirtualTargetLife) => void;
  /** Returns whether a task of which the payload says so crashes its target. */
  readonly allowCrash?: (
    run: VirtualRun,
    crashesAtMost: number,
    isDraining: boolean,
  ) => boolean;
  readonly reportStart: (run: VirtualRun) => void;
  readonly reportEnd: (run: VirtualRun, end: RunEnd) => void;
  /** Notes an event for the trace. */
  readonly record: (text: string) => void;
}

const HEARTBEAT_PERIOD_MS = 1500;
const FIRST_HEARTBEAT_MS = 40;
/** Time in milliseconds that the agent waits in addition to the requested wait. */
const HOLD_TIMEOUT_MS = 100;
/** Age in milliseconds from which an order is carried out late. */
const LATE_MS = 1000;
const START_EPOCH_MS = 1_780_000_000_000;

/** A target that is born again under the same id after each crash. */
export class VirtualTarget {
  readonly id: string;
  life: VirtualTargetLife | undefined;
  /** The latest heartbeat that it has sent. */
  latestHeartbeat: TargetHeartbeat | undefined;
  readonly spells: CallSpells;
  private readonly lives = new Map<string, VirtualTargetLife>();
  private startedAtMs = 0;
  private phase: TargetHeartbeat['phase'] = TargetPhase.READY;
  private sequence = 0;
  /** Start of the life that wrote each answer. */
  private readonly startMsOf = new WeakMap<HoldAnswer, number>();

  private constructor(private readonly options: VirtualTargetOptions) {
    this.id = options.id;
    this.spells = CallSpells.create(options.time, options.drawRandom);
  }

  /** Creates a target and begins its first life. */
  static create(options: VirtualTargetOptions): VirtualTarget {
    const target = new VirtualTarget(options);
    target.begin();
    return target;
  }

  private get isDraining(): boolean {
    return this.phase === TargetPhase.DRAINING;
  }

  /**
   * Crashes and is born again after a time.
   *
   * @param noticeMs Time until the connections to the life break.
   */
  restart(downMs: number, noticeMs = 0): void {
    if (this.life === undefined) return;
    this.options.record(`${this.options.id} crashes for ${downMs} ms`);
    this.options.reportCrash?.(this.life);
    this.end(downMs, noticeMs);
  }

  /** Says that it drains, ends after a time and is born again. */
  drain(drainMs: number, downMs: number, isDeregistered: boolean): void {
    const {life, options} = this;
    if (life === undefined || this.isDraining) return;
    this.phase = TargetPhase.DRAINING;
    this.sendHeartbeat(life);
    options.time.schedule(drainMs, () => {
      if (this.life !== life) return;
      options.record(`${options.id} leaves for ${downMs} ms`);
      if (isDeregistered) options.sendDeregistration?.(this.startedAtMs);
      this.end(downMs, 0);
    });
  }

  /** Connects an agent to the life that sent a heartbeat. */
  connect(
    process: VirtualProcess,
    heartbeat: TargetHeartbeat,
  ): TargetConnection {
    return {
      start: body =>
        this.send(process, {
          addressee: heartbeat,
          name: `start ${body.task}#${body.run}`,
          body,
          timeoutMs: body.timeoutMs,
          execute: (life, call, answer, isLate) =>
            answer(extend(life.start(call, isLate))),
        }),
      stop: body =>
        this.send(process, {
          addressee: heartbeat,
          name: `stop ${body.task}#${body.run}`,
          body: {...body, deadlineMs: 0},
          timeoutMs: body.timeoutMs,
          execute: (life, call, answer) => answer(extend(life.stop(call))),
        }),
      hold: body =>
        this.send(process, {
          addressee: heartbeat,
          name: 'hold',
          body,
          timeoutMs: body.waitMs + HOLD_TIMEOUT_MS,
          execute: (life, call, answer) => life.renew(call, answer),
        }).then(answer => this.compareLife(answer, heartbeat)),
      close: () => undefined,
    };
  }

  // Lists name the start of the life that wrote them; see `target_http_client.ts`.
  private compareLife(answer: HoldAnswer, {startMs}: TargetHeartbeat) {
    if (answer.outcome !== OrderOutcome.ACCEPTED) return answer;
    if (this.startMsOf.get(answer) === startMs) return answer;
    const outcome = OrderOutcome.OTHER_INCARNATION;
    return {...answer, outcome, running: [], ended: []};
  }

  private end(downMs: number, noticeMs: number): void {
    this.life?.kill(noticeMs);
    this.life = undefined;
    this.options.time.schedule(downMs, () => this.begin());
  }

  private begin(): void {
    const {time, id, record} = this.options;
    const incarnation = `${id}/${this.lives.size + 1}`;
    record(`${incarnation} is born`);
    const life = VirtualTargetLife.create({
      ...this.options,
      target: id,
      life: incarnation,
      allowCrash: (run, crashesAtMost) =>
        this.options.allowCrash?.(run, crashesAtMost, this.isDraining) ?? false,
      crash: downMs => this.life === life && this.restart(downMs),
    });
    this.life = life;
    this.lives.set(incarnation, life);
    this.startedAtMs = Math.floor(time.nowMs) + START_EPOCH_MS;
    this.phase = TargetPhase.READY;
    this.sequence = 0;
    this.scheduleHeartbeat(life, FIRST_HEARTBEAT_MS);
  }

  private scheduleHeartbeat(life: VirtualTargetLife, delayMs: number): void {
    this.options.time.schedule(delayMs, () => {
      if (life.isOver) return;
      this.sendHeartbeat(life);
      this.scheduleHeartbeat(life, HEARTBEAT_PERIOD_MS);
    });
  }

  private sendHeartbeat(life: VirtualTargetLife): void {
    const {id, sendHeartbeat} = this.options;
    this.sequence += 1;
    this.latestHeartbeat = {
      incarnation: life.name,
      startMs: this.startedAtMs,
      id,
      service: 'runner',
      dataCentre: 'zone-a',
      phase: this.phase,
      capacity: TARGET_CAPACITY,
      labels: [],
      sequence: this.sequence,
      clockMs: life.clockMs,
    };
    sendHeartbeat(this.latestHeartbeat);
  }

  private send<Body extends {readonly deadlineMs: number}>(
    process: VirtualProcess,
    call: TargetCall<Body>,
  ): Promise<HoldAnswer> {
    if (!process.isAlive) return new Promise(() => undefined);
    const {time, drawRandom} = this.options;
    return new Promise(resolve => {
      const reply = (answer: HoldAnswer) =>
        void time.schedule(
          0.2 + drawRandom(),
          () => resolve(answer),
          process.host,
        );
      process.startTimer(call.timeoutMs, () =>
        resolve(createAnswer(OrderOutcome.UNANSWERED)),
      );
      const sentMs = this.lives.get(call.addressee.incarnation)?.clockMs ?? 0;
      const sentAtMs = time.nowMs;
      const execute = (answer?: (lists: HoldAnswer) => void) =>
        this.execute(call, sentMs, sentAtMs, answer);
      const delayMs = 0.2 + drawRandom();
      switch (
        this.life === undefined ? CallFate.ANSWERED : this.spells.drawFate()
      ) {
        case CallFate.ANSWERED:
          time.schedule(delayMs, () => execute(reply));
          break;
        case CallFate.REFUSED:
          this.recordCall(call.name, 'refused 503');
          reply(createAnswer(OrderOutcome.REFUSED, '503'));
          break;
        case CallFate.UNREACHABLE:
          this.recordCall(call.name, 'connection refused');
          reply(createAnswer(OrderOutcome.NOT_LISTENING));
          break;
        case CallFate.UNANSWERED:
          this.lose(call.name, delayMs, execute);
          break;
      }
    });
  }

  private lose(name: string, delayMs: number, execute: () => void): void {
    const {time, drawRandom} = this.options;
    const fate = drawRandom();
    if (fate > 0.8) return;
    const lateMs = fate < 0.4 ? delayMs : 2000 + drawRandom() * 10_000;
    this.recordCall(name, `no answer, due in ${Math.round(lateMs)} ms`);
    time.schedule(lateMs, execute);
  }

  private execute<Body extends {readonly deadlineMs: number}>(
    {addressee, name, body, execute}: TargetCall<Body>,
    sentMs: number,
    sentAtMs: number,
    answer?: (lists: HoldAnswer) => void,
  ): void {
    const {life} = this;
    if (life === undefined) {
      answer?.(createAnswer(OrderOutcome.NOT_LISTENING));
      return;
    }
    const {grants, isIdKept} = this.options;
    const isOther = this.lives.get(addressee.incarnation) !== life;
    if (addressee.id !== this.options.id || (isOther && !isIdKept)) {
      answer?.(createAnswer(OrderOutcome.OTHER_INCARNATION));
      return;
    }
    const isShifted = grants && answer === undefined && body.deadlineMs > 0;
    const shiftMs = isShifted ? life.clockMs - sentMs : 0;
    const deadlineMs = body.deadlineMs + shiftMs;
    const startMs = this.startedAtMs;
    const conclude = (lists: HoldAnswer) => {
      this.startMsOf.set(lists, startMs);
      const lost = answer === undefined ? ', its answer is lost' : '';
      const other = isOther ? ', sent to an earlier life' : '';
      this.recordCall(name, `${lists.outcome} ${lists.reason}${lost}${other}`);
      answer?.(lists);
    };
    const isLate = this.options.time.nowMs - sentAtMs >= LATE_MS;
    execute(life, {...body, deadlineMs}, conclude, isLate);
  }

  private recordCall(name: string, text: string): void {
    if (name === 'hold') return;
    this.options.record(`${this.options.id}: ${name}: ${text}`);
  }
}
