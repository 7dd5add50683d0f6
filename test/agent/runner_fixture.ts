import {Runner} from '../../src/lib/agent/runner.js';
import {
  LinkMessageKind,
  RunnerMessageKind,
  TargetMessageKind,
} from '../../src/lib/agent/runner_messages.js';
import {TargetCondition} from '../../src/lib/core/link_messages.js';
import type {
  AgentHello,
  EntryFrame,
  StartOrder,
} from '../../src/lib/core/link_messages.js';
import {StoreContact} from '../../src/lib/records/configuration_view.js';
import {ManualClock} from '../fakes/manual_clock.js';

/** Incarnation of the entry that the tests link to. */
export const ENTRY = 'entry-life';

const FRESH_MS = 60_000;

const NO_FRAME: EntryFrame = {starts: [], withdrawn: [], acknowledged: []};

function createOrder(sequence: number): StartOrder {
  return {
    sequence,
    job: 'job',
    index: sequence,
    team: 'team',
    taskClass: 'class',
    payload: new Uint8Array(0),
    startWithinMs: FRESH_MS,
    runWithinMs: FRESH_MS,
    trace: '',
  };
}

/** A runner of the older path with a target, and links that the test controls. */
export class RunnerFixture {
  readonly clock = ManualClock.create();
  /** Latest hello on each link. */
  readonly hellos = new Map<string, AgentHello>();
  /** Sequences of the tasks sent to the target. */
  readonly started: number[] = [];
  readonly runner: Runner;

  private constructor() {
    this.runner = Runner.create({
      identity: {id: 'agent', incarnation: 'agent-life', dataCentre: 'a'},
      queueLimit: 4,
      permissionFreshMs: FRESH_MS,
      readMonotonicMs: this.clock.readMs,
      startTimer: this.clock.startTimer,
      defer: run => void setImmediate(run),
      postToLink: (link, message) => {
        if (message.kind !== LinkMessageKind.HELLO) return;
        this.hellos.set(link, message.hello);
      },
      postToTarget: message => {
        if (message.kind === TargetMessageKind.RUN) {
          this.started.push(message.task.order.sequence);
        }
        return undefined as never;
      },
      publishConfiguration: () => undefined,
      reportPermission: () => undefined,
      reportIdle: () => undefined,
      reportFailure: failure => {
        throw failure;
      },
    });
  }

  /** Creates a runner beside a target with free slots. */
  static async create(): Promise<RunnerFixture> {
    const fixture = new RunnerFixture();
    fixture.runner.post({
      kind: RunnerMessageKind.TARGET_CHANGED,
      target: {
        condition: TargetCondition.PRESENT,
        name: 'target',
        instance: 'target-life',
        slots: 8,
      },
    });
    await fixture.clock.advance(1);
    return fixture;
  }

  /** Has the hello of a new stream written, which the entry has not yet received. */
  async writeHello(link: string, streamNumber: number): Promise<void> {
    const kind = RunnerMessageKind.LINK_OPENING;
    this.runner.post({kind, link, streamNumber});
    await this.clock.advance(0);
  }

  /** Opens a link to an entry that allows starts. */
  async openLink(
    link: string,
    streamNumber: number,
    incarnation = ENTRY,
  ): Promise<void> {
    await this.writeHello(link, streamNumber);
    const entry = {id: incarnation, incarnation, dataCentre: 'a'};
    this.runner.post({kind: RunnerMessageKind.LINK_OPENED, link, entry});
    await this.receive(link, {
      configuration: {revision: 1, dataCentresOut: [], entries: []},
      pong: {
        pingSentAtMs: this.clock.nowMs,
        contact: StoreContact.CONFIRMED,
        confirmedAgeMs: 0,
        configurationRevision: 1,
        isLeaving: false,
      },
    });
  }

  async closeLink(link: string): Promise<void> {
    this.runner.post({kind: RunnerMessageKind.LINK_CLOSED, link});
    await this.clock.advance(0);
  }

  /** Delivers a start order of the entry on a link. */
  async sendOrder(link: string, sequence: number): Promise<void> {
    await this.receive(link, {starts: [createOrder(sequence)]});
  }

  private async receive(
    link: string,
    changes: Partial<EntryFrame>,
  ): Promise<void> {
    const frame = {...NO_FRAME, ...changes};
    this.runner.post({kind: RunnerMessageKind.LINK_FRAME, link, frame});
    await this.clock.advance(0);
  }
}
