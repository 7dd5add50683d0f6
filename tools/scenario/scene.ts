/** What the actions of a running scenario work on. */
import type {StopTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {AdministrationClient} from './administration_client.js';
import {awaitCondition, awaitWithin} from './await_condition.js';
import type {WaitingClock} from './await_condition.js';
import {CallerTask} from './caller_task.js';
import type {SubmissionOrder} from './caller_task.js';
import type {ScenarioDefinition} from './definition.js';
import type {Evidence, Submission} from './evidence.js';
import type {Fleet} from './fleet.js';
import {Listener, ProcessKind, STORE_NAME} from './fleet_plan.js';
import {createHttpCaller, readReply} from './http_call.js';
import type {HttpCall, HttpCaller} from './http_call.js';
import type {LoadRunner} from './load_runner.js';
import {Observer} from './observer.js';
import {listTargetsPresent, readRevisionSamples} from './read_status.js';
import {readTargetRecord} from './target_record.js';
import type {WriteLine} from './timeline.js';

/** What a scene is made of. */
export interface SceneOptions {
  readonly definition: ScenarioDefinition;
  readonly fleet: Fleet;
  readonly clock: WaitingClock;
  readonly writeLine: WriteLine;
}

/** A submission that was made, for conditions and resubmissions. */
export interface MadeSubmission {
  readonly order: SubmissionOrder;
  readonly end: Promise<Submission>;
}

interface ListedValues {
  readonly revision: number;
  readonly values: ReadonlyArray<{key: string; revision: number}>;
}

/** The team that submits every scenario's jobs, without limits. */
const TEAM_KEY = '/foxtailbay/records/team/listings';
const TEAM_RECORD = {
  schemaVersion: 1,
  kind: 'team',
  name: 'listings',
  writeId: 'scenario',
  by: 'scenario',
  spec: {weight: 1, slotsAtMost: 0, tasksPerSecondAtMost: 0},
};

const SAMPLE_PERIOD_MS = 250;
const BEGIN_TIMEOUT_MS = 15_000;
const FINISH_TIMEOUT_MS = 40_000;

/** Owns the callers, the operators' client and the evidence of one run. */
export class Scene {
  readonly observer = Observer.create();
  readonly submissions = new Map<string, MadeSubmission>();
  readonly loads = new Map<string, LoadRunner>();
  readonly caller: CallerTask;
  readonly administration: AdministrationClient;
  private readonly http: HttpCaller = createHttpCaller();
  private readonly store = DisposableStore.create();
  private stopSample: StopTimer = () => undefined;

  private constructor(private readonly options: SceneOptions) {
    const {fleet, clock} = options;
    this.store.add(() => this.http.close());
    this.caller = CallerTask.create({
      call: this.http.call,
      readMs: clock.readMs,
      findAddress: name => fleet.findCallersAddress(name),
      report: this.observer.addSubmission,
    });
    this.store.add(() => this.caller.stop());
    this.store.add(() => this.stopSample());
    this.administration = AdministrationClient.create({
      call: this.http.call,
      readMs: clock.readMs,
      findAddress: name => fleet.findAddress(name, Listener.ADMINISTRATION),
    });
  }

  /** Creates a scene in which nothing runs yet. */
  static create(options: SceneOptions): Scene {
    return new Scene(options);
  }

  /** The processes. */
  get fleet(): Fleet {
    return this.options.fleet;
  }

  /** Whether the run is over, so that nothing more is to be observed. */
  get isEnded(): boolean {
    return this.store.isDisposed;
  }

  /** The clock. */
  get clock(): WaitingClock {
    return this.options.clock;
  }

  /** Adds a line to the timeline. */
  get writeLine(): WriteLine {
    return this.options.writeLine;
  }

  /** Makes HTTP calls over the scene's own connections. */
  get call() {
    return this.http.call;
  }

  /** Starts the fleet and waits until every entry sees every target. */
  async begin(): Promise<void> {
    await this.fleet.startFirst();
    await this.putValue(TEAM_KEY, JSON.stringify(TEAM_RECORD));
    await this.fleet.startRest();
    this.writeLine('all processes serve');
    const expected = this.fleet.listServing(ProcessKind.TARGET).length;
    await awaitCondition(
      'every entry sees every target',
      BEGIN_TIMEOUT_MS,
      () => this.checkTargets(expected),
      this.clock,
    );
    this.writeLine('every entry sees every target');
    this.scheduleSample();
  }

  /** Waits until every load and every submission has ended. */
  async finish(): Promise<void> {
    const loads = [...this.loads.values()].map(load => load.finish());
    const answers = [...this.submissions.values()].map(({end}) => end);
    await awaitWithin(
      'every submission has ended',
      FINISH_TIMEOUT_MS,
      Promise.all([...loads, ...answers]),
      this.clock.startTimer,
    );
  }

  /** Tells whether every entry sees so many targets. */
  async checkTargets(expected: number): Promise<boolean> {
    const entries = this.fleet.listServing(ProcessKind.ENTRY);
    const counts = await Promise.all(
      entries.map(({name}) => this.countTargets(name)),
    );
    return counts.every(count => count >= expected);
  }

  /** Tells whether an entry says that it is ready for callers. */
  async checkReadiness(entry: string): Promise<boolean> {
    const url = `${this.fleet.findCallersAddress(entry)}/readyz`;
    const {status} = await this.http.call({method: 'GET', url});
    return status === 200;
  }

  /** Lets something go on beside the steps; a failure is left to the verdict. */
  follow(work: Promise<void>): void {
    void work.catch((failure: unknown) => this.writeLine(String(failure)));
  }

  /** Writes a value straight into the store, over whatever stands there. */
  async putValue(key: string, value: string): Promise<void> {
    const {values} = await this.listValues(key);
    const expected = values.find(item => item.key === key)?.revision ?? 0;
    const address = this.fleet.findAddress(STORE_NAME, Listener.MAIN);
    const path = `/v1/values/${encodeURIComponent(key)}?expected=${expected}`;
    const call: HttpCall = {
      method: 'PUT',
      url: `${address}${path}`,
      text: value,
    };
    readReply(call, await this.http.call(call));
  }

  /** Returns the number of targets that an entry could send tasks to. */
  async countTargets(entry: string): Promise<number> {
    return listTargetsPresent(await this.administration.readStatus(entry))
      .length;
  }

  /** Reads the record of a target anew. */
  async readRecord(target: string): Promise<void> {
    const plan = this.fleet.findPlan(target);
    const address = this.fleet.findAddress(target, Listener.MAIN);
    const record = await readTargetRecord(this.http.call, address, plan);
    const life = `${target}/${this.fleet.findProcess(target).pid}`;
    this.observer.setRecord(life, record);
  }

  /** Reads the records of all targets that serve. */
  async readRecords(): Promise<void> {
    const targets = this.fleet.listServing(ProcessKind.TARGET);
    await Promise.all(targets.map(({name}) => this.readRecord(name)));
  }

  /** Ends the loads, waits for background answers and reads all records. */
  async collectEvidence(): Promise<Evidence> {
    const endedAtMs = this.clock.readMs();
    for (const load of this.loads.values()) load.stop();
    await this.readRecords();
    return this.observer.createEvidence(endedAtMs);
  }

  /** Ends what the scene began. */
  async dispose(): Promise<void> {
    for (const load of this.loads.values()) load.stop();
    await this.store.dispose();
  }

  private async listValues(prefix: string): Promise<ListedValues> {
    const address = this.fleet.findAddress(STORE_NAME, Listener.MAIN);
    const query = `prefix=${encodeURIComponent(prefix)}`;
    const call: HttpCall = {
      method: 'GET',
      url: `${address}/v1/values?${query}`,
    };
    return readReply<ListedValues>(call, await this.http.call(call));
  }

  // One sample at a time, so that the order of samples is that of the answers.
  private scheduleSample(): void {
    const stop = this.clock.startTimer(SAMPLE_PERIOD_MS, () => {
      void this.sampleRevisions().finally(() => {
        if (!this.store.isDisposed) this.scheduleSample();
      });
    });
    this.stopSample = stop;
  }

  private async sampleRevisions(): Promise<void> {
    for (const {name} of this.fleet.listServing(ProcessKind.ENTRY)) {
      const atMs = this.clock.readMs();
      const status = await this.administration
        .readStatus(name)
        .catch(() => undefined);
      if (status === undefined) continue;
      const samples = readRevisionSamples(status, atMs);
      for (const sample of samples) this.observer.addRevision(sample);
    }
  }
}
