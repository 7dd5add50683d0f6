/** State and clients shared by the actions of a running scenario. */
import type {StopTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {AdministrationClient} from './administration_client.js';
import {awaitCondition, awaitWithin} from './await_condition.js';
import type {WaitingClock} from './await_condition.js';
import {CallerTask} from './caller_task.js';
import type {SubmissionRequest} from './caller_task.js';
import type {ScenarioDefinition} from './definition.js';
import type {Evidence, Submission} from './evidence.js';
import type {Fleet} from './fleet.js';
import {Listener, ProcessKind, STORE_NAME} from './fleet_plan.js';
import {createHttpClient, readReply} from './http_call.js';
import type {HttpCall, HttpClient} from './http_call.js';
import type {LoadRunner} from './load_runner.js';
import {EvidenceCollector} from './evidence_collector.js';
import {listTargetsPresent, readRevisionSamples} from './read_status.js';
import {readTargetRecord} from './target_record.js';
import type {WriteLine} from './timeline.js';

/** Dependencies of a `ScenarioContext`. */
export interface ScenarioContextOptions {
  readonly definition: ScenarioDefinition;
  readonly fleet: Fleet;
  readonly clock: WaitingClock;
  readonly writeLine: WriteLine;
}

/** A submission that was started, with the promise of its result. */
export interface SubmissionHandle {
  readonly request: SubmissionRequest;
  readonly result: Promise<Submission>;
}

interface ValueList {
  readonly revision: number;
  readonly values: ReadonlyArray<{key: string; revision: number}>;
}

/** The team that submits the jobs of every scenario; it has no limits. */
const TEAM_KEY = '/foxtailbay/records/team/listings';
const TEAM_RECORD = {
  schemaVersion: 1,
  kind: 'team',
  name: 'listings',
  writeId: 'scenario',
  by: 'scenario',
  spec: {weight: 1, slotsAtMost: 0, tasksPerSecondAtMost: 0},
};

const SAMPLE_INTERVAL_MS = 250;
const START_TIMEOUT_MS = 15_000;
const FINISH_TIMEOUT_MS = 40_000;

/** Owns the caller, the administration client and the evidence of one run. */
export class ScenarioContext {
  readonly evidence = EvidenceCollector.create();
  readonly submissions = new Map<string, SubmissionHandle>();
  readonly loads = new Map<string, LoadRunner>();
  readonly caller: CallerTask;
  readonly administration: AdministrationClient;
  private readonly http: HttpClient = createHttpClient();
  private readonly store = DisposableStore.create();
  private stopSample: StopTimer = () => undefined;

  private constructor(private readonly options: ScenarioContextOptions) {
    const {fleet, clock} = options;
    this.store.add(() => this.http.close());
    this.caller = CallerTask.create({
      call: this.http.call,
      readMs: clock.readMs,
      findAddress: name => fleet.findCallersAddress(name),
      report: this.evidence.addSubmission,
    });
    this.store.add(() => this.caller.stop());
    this.store.add(() => this.stopSample());
    this.administration = AdministrationClient.create({
      call: this.http.call,
      readMs: clock.readMs,
      findAddress: name => fleet.findAddress(name, Listener.ADMINISTRATION),
    });
  }

  /** Creates the context; `begin` starts the processes. */
  static create(options: ScenarioContextOptions): ScenarioContext {
    return new ScenarioContext(options);
  }

  /** The processes of the scenario. */
  get fleet(): Fleet {
    return this.options.fleet;
  }

  /** Whether the run is over, so that observation must stop. */
  get isEnded(): boolean {
    return this.store.isDisposed;
  }

  /** The clock and the timers of the run. */
  get clock(): WaitingClock {
    return this.options.clock;
  }

  /** Adds a line to the timeline. */
  get writeLine(): WriteLine {
    return this.options.writeLine;
  }

  /** Makes HTTP calls over the connection pool of this run. */
  get call() {
    return this.http.call;
  }

  /** Starts the fleet and waits until every entry lists every target as available. */
  async begin(): Promise<void> {
    await this.fleet.startStoreAndRelays();
    await this.putValue(TEAM_KEY, JSON.stringify(TEAM_RECORD));
    await this.fleet.startServices();
    this.writeLine('all processes are ready');
    const expected = this.fleet.listServing(ProcessKind.TARGET).length;
    await awaitCondition(
      'every entry lists every target as available',
      START_TIMEOUT_MS,
      () => this.checkTargets(expected),
      this.clock,
    );
    this.writeLine('every entry lists every target as available');
    this.scheduleSample();
  }

  /** Waits until every load and every submission has ended. */
  async finish(): Promise<void> {
    const loads = [...this.loads.values()].map(load => load.finish());
    const answers = [...this.submissions.values()].map(({result}) => result);
    await awaitWithin(
      'every submission has ended',
      FINISH_TIMEOUT_MS,
      Promise.all([...loads, ...answers]),
      this.clock.startTimer,
    );
  }

  /** Returns whether every entry has at least `expected` available targets. */
  async checkTargets(expected: number): Promise<boolean> {
    const entries = this.fleet.listServing(ProcessKind.ENTRY);
    const counts = await Promise.all(
      entries.map(({name}) => this.countTargets(name)),
    );
    return counts.every(count => count >= expected);
  }

  /** Returns whether the readiness probe of an entry succeeds. */
  async checkReadiness(entry: string): Promise<boolean> {
    const url = `${this.fleet.findCallersAddress(entry)}/readyz`;
    const {status} = await this.http.call({method: 'GET', url});
    return status === 200;
  }

  /** Runs work beside the steps; a failure is logged and left to the verdict. */
  runInBackground(work: Promise<void>): void {
    void work.catch((failure: unknown) => this.writeLine(String(failure)));
  }

  /** Writes a value directly to the store, replacing any present value. */
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

  /** Counts the targets to which an entry can send tasks. */
  async countTargets(entry: string): Promise<number> {
    return listTargetsPresent(await this.administration.readStatus(entry))
      .length;
  }

  /** Reads the record of a target and replaces the stored one. */
  async readRecord(target: string): Promise<void> {
    const plan = this.fleet.findPlan(target);
    const address = this.fleet.findAddress(target, Listener.MAIN);
    const record = await readTargetRecord(this.http.call, address, plan);
    const incarnation = `${target}/${this.fleet.findProcess(target).pid}`;
    this.evidence.setRecord(incarnation, record);
  }

  /** Reads the records of all serving targets. */
  async readRecords(): Promise<void> {
    const targets = this.fleet.listServing(ProcessKind.TARGET);
    await Promise.all(targets.map(({name}) => this.readRecord(name)));
  }

  /** Stops the loads, reads all records and returns the evidence. */
  async collectEvidence(): Promise<Evidence> {
    const endedAtMs = this.clock.readMs();
    for (const load of this.loads.values()) load.stop();
    await this.readRecords();
    return this.evidence.createEvidence(endedAtMs);
  }

  /** Stops the loads and releases the resources of this run. */
  async dispose(): Promise<void> {
    for (const load of this.loads.values()) load.stop();
    await this.store.dispose();
  }

  private async listValues(prefix: string): Promise<ValueList> {
    const address = this.fleet.findAddress(STORE_NAME, Listener.MAIN);
    const query = `prefix=${encodeURIComponent(prefix)}`;
    const call: HttpCall = {
      method: 'GET',
      url: `${address}/v1/values?${query}`,
    };
    return readReply<ValueList>(call, await this.http.call(call));
  }

  // One sample at a time, so that samples are in the order of the answers.
  private scheduleSample(): void {
    const stop = this.clock.startTimer(SAMPLE_INTERVAL_MS, () => {
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
      for (const sample of samples) this.evidence.addRevision(sample);
    }
  }
}
