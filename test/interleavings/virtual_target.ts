/** Simulates a target beside an agent: its lives, its heartbeats and the calls to it. */
import {TargetPhase} from '../../src/lib/core/work_frames.js';
import type {RunEnd} from '../../src/lib/core/work_frames.js';
import {OrderOutcome} from '../../src/lib/work/agent/target_api.js';
import type {
  HoldAnswer,
  OrderAnswer,
  TargetConnection,
  TargetHeartbeat,
} from '../../src/lib/work/agent/target_api.js';
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

/** What becomes of the calls of a spell. */
export enum CallFate {
  ANSWERED = 'answered',
  /** No answer; carried out at once, 2 to 12 s later, or never. */
  UNANSWERED = 'unanswered',
  /** Status 503: nothing was done. */
  REFUSED = 'refused',
  /** A cut refuses the connection: nothing was done, and the target goes on. */
  UNREACHABLE = 'unreachable',
}

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
  readonly reportStart: (run: VirtualRun) => void;
  readonly reportEnd: (run: VirtualRun, end: RunEnd) => void;
  /** Notes an event for the trace. */
  readonly record: (text: string) => void;
}

interface Spell {
  readonly fate: CallFate;
  readonly share: number;
  readonly untilMs: number;
}

interface Call<Body> {
  /** Id and incarnation to which the call is addressed. */
  readonly addressee: Pick<TargetHeartbeat, 'id' | 'incarnation'>;
  readonly name: string;
  readonly body: Body;
  readonly timeoutMs: number;
  readonly execute: (
    life: VirtualTargetLife,
    body: Body,
    answer: (answer: HoldAnswer) => void,
  ) => void;
}

const HEARTBEAT_PERIOD_MS = 1500;
const FIRST_HEARTBEAT_MS = 40;
/** Time in milliseconds that the agent waits in addition to the requested wait. */
const HOLD_TIMEOUT_MS = 100;
const START_EPOCH_MS = 1_780_000_000_000;

/** A target that is born again under the same id after each crash. */
export class VirtualTarget {
  life: VirtualTargetLife | undefined;
  /** The latest heartbeat that it has sent. */
  latestHeartbeat: TargetHeartbeat | undefined;
  private spells: Spell[] = [];
  private readonly lives = new Map<string, VirtualTargetLife>();
  private startedAtMs = 0;
  /** Start of the life that wrote each answer. */
  private readonly startMsOf = new WeakMap<HoldAnswer, number>();

  private constructor(private readonly options: VirtualTargetOptions) {}

  /** Creates a target and begins its first life. */
  static create(options: VirtualTargetOptions): VirtualTarget {
    const target = new VirtualTarget(options);
    target.begin();
    return target;
  }

  /** Crashes and is born again after a time. */
  restart(downMs: number): void {
    if (this.life === undefined) return;
    this.options.record(`${this.options.id} crashes for ${downMs} ms`);
    this.life.kill();
    this.life = undefined;
    this.options.time.schedule(downMs, () => this.begin());
  }

  /** Begins a spell in which a share of the calls goes wrong. */
  addSpell(fate: CallFate, share: number, durationMs: number): void {
    const untilMs = this.options.time.nowMs + durationMs;
    this.spells.push({fate, share, untilMs});
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
          execute: (life, call, answer) => answer(extend(life.start(call))),
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

  private begin(): void {
    const {time, id, record} = this.options;
    const life = `${id}/${this.lives.size + 1}`;
    record(`${life} is born`);
    this.life = VirtualTargetLife.create({...this.options, target: id, life});
    this.lives.set(life, this.life);
    this.startedAtMs = Math.floor(time.nowMs) + START_EPOCH_MS;
    this.scheduleHeartbeat(this.life, life, 1, FIRST_HEARTBEAT_MS);
  }

  private scheduleHeartbeat(
    life: VirtualTargetLife,
    incarnation: string,
    sequence: number,
    delayMs: number,
  ): void {
    const {time, id, sendHeartbeat} = this.options;
    time.schedule(delayMs, () => {
      if (life.isOver) return;
      this.latestHeartbeat = {
        incarnation,
        startMs: this.startedAtMs,
        id,
        service: 'runner',
        dataCentre: 'zone-a',
        phase: TargetPhase.READY,
        capacity: TARGET_CAPACITY,
        labels: [],
        sequence,
        clockMs: life.clockMs,
      };
      sendHeartbeat(this.latestHeartbeat);
      this.scheduleHeartbeat(
        life,
        incarnation,
        sequence + 1,
        HEARTBEAT_PERIOD_MS,
      );
    });
  }

  private send<Body extends {readonly deadlineMs: number}>(
    process: VirtualProcess,
    call: Call<Body>,
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
      const execute = (answer?: (lists: HoldAnswer) => void) =>
        this.execute(call, sentMs, answer);
      const delayMs = 0.2 + drawRandom();
      switch (this.life === undefined ? CallFate.ANSWERED : this.drawFate()) {
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
    {addressee, name, body, execute}: Call<Body>,
    sentMs: number,
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
    execute(life, {...body, deadlineMs}, lists => {
      this.startMsOf.set(lists, startMs);
      const lost = answer === undefined ? ', its answer is lost' : '';
      const other = isOther ? ', sent to an earlier life' : '';
      this.recordCall(name, `${lists.outcome} ${lists.reason}${lost}${other}`);
      answer?.(lists);
    });
  }

  private recordCall(name: string, text: string): void {
    if (name === 'hold') return;
    this.options.record(`${this.options.id}: ${name}: ${text}`);
  }

  private drawFate(): CallFate {
    const {time, drawRandom} = this.options;
    this.spells = this.spells.filter(({untilMs}) => untilMs > time.nowMs);
    for (const {fate, share} of this.spells) {
      if (drawRandom() < share) return fate;
    }
    return CallFate.ANSWERED;
  }
}

function extend(answer: OrderAnswer): HoldAnswer {
  return {...answer, running: [], ended: []};
}

function createAnswer(outcome: OrderOutcome, reason = ''): HoldAnswer {
  return {outcome, reason, clockMs: 0, running: [], ended: []};
}
