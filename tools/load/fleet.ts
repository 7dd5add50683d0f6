/** Manages the processes of one run: store, entries, agents and targets. */
import {mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import type {PlacementKind} from '../../src/lib/decisions/choose_agent.js';
import type {JobOrder} from '../../src/lib/decisions/rank_job.js';
import {ChildProgram} from './child_program.js';
import {findFreePorts, writeAgentFile, writeEntryFile} from './fleet_files.js';
import type {EntryPorts} from './fleet_files.js';
import {callJson} from './http_client.js';
import {getSlowness} from './load_plan.js';
import type {FleetSettings, TeamSettings} from './load_settings.js';

/** Options for starting a fleet. */
export interface FleetOptions {
  readonly settings: FleetSettings;
  readonly teams: readonly TeamSettings[];
  readonly policy: PlacementKind;
  readonly order: JobOrder;
  /** One-way delay between entries and agents; with 0 there are no relays. */
  readonly agentOneWayMs: number;
  /** Folder for the settings and log files of the processes. */
  readonly folder: string;
}

/** Kinds of process that events of a load may stop and start. */
export enum ProcessKind {
  ENTRY = 'entry',
  AGENT = 'agent',
  TARGET = 'target',
}

const PORTS_PER_ENTRY = 3;

/** Number of processes started concurrently. */
const MAX_CONCURRENT_STARTS = 8;

/** A fleet of processes on loopback. */
export class Fleet {
  private readonly store = DisposableStore.create();
  private readonly programs = new Map<string, ChildProgram>();
  private readonly revisions = new Map<string, number>();
  private storePort = 0;
  private targetPorts: number[] = [];
  private advertisedPorts: number[] = [];

  private constructor(
    private readonly options: FleetOptions,
    /** Ports of the entries, by entry number. */
    readonly entryPorts: readonly EntryPorts[],
    private readonly agentPorts: readonly number[],
  ) {}

  /** Starts all processes and waits until each is ready. */
  static async create(options: FleetOptions): Promise<Fleet> {
    const {entries, targets} = options.settings;
    mkdirSync(options.folder, {recursive: true});
    const ports = await findFreePorts(entries * PORTS_PER_ENTRY + targets);
    const entryPorts = Array.from({length: entries}, (_, number) => {
      const [callers, peers, administration] = ports.slice(
        number * PORTS_PER_ENTRY,
      );
      return {callers, peers, administration};
    });
    const agentPorts = ports.slice(entries * PORTS_PER_ENTRY);
    const fleet = new Fleet(options, entryPorts, agentPorts);
    try {
      await fleet.start();
    } catch (failure) {
      await fleet.stop();
      throw failure;
    }
    return fleet;
  }

  /** Lists the process ids of the running processes of a kind. */
  listProcessIds(kind: ProcessKind): number[] {
    return [...this.programs]
      .filter(([name]) => name.startsWith(`${kind}-`))
      .map(([, program]) => program.id);
  }

  /** Returns the data centre of the entry, agent or target with a number. */
  getDataCentre(number: number): string {
    const {dataCentres} = this.options.settings;
    return dataCentres[number % dataCentres.length];
  }

  /** Starts one process and waits until it is ready. */
  async startProcess(kind: ProcessKind, number: number): Promise<void> {
    const name = `${kind}-${number}`;
    const program = await ChildProgram.create({
      ...this.describeProgram(kind, number),
      logFile: join(this.options.folder, `${name}.log`),
    });
    this.programs.set(name, program);
    if (kind === ProcessKind.TARGET) {
      this.targetPorts[number] = program.ready.port as number;
    }
  }

  /** Ends one process, with SIGTERM if `isGraceful`, otherwise with SIGKILL. */
  async endProcess(
    kind: ProcessKind,
    number: number,
    isGraceful: boolean,
  ): Promise<void> {
    const name = `${kind}-${number}`;
    const program = this.programs.get(name);
    this.programs.delete(name);
    await (isGraceful ? program?.stop() : program?.kill());
  }

  /** Writes an operators' record, replacing the revision written before. */
  async writeRecord(kind: string, name: string, spec: object): Promise<void> {
    const key = `/foxtailbay/records/${kind}/${name}`;
    const expected = this.revisions.get(key) ?? 0;
    const writeId = `load-${expected}`;
    const record = {schemaVersion: 1, kind, name, writeId, by: 'load', spec};
    const {revision} = await callJson<{revision: number}>({
      port: this.storePort,
      method: 'PUT',
      path: `/v1/values/${encodeURIComponent(key)}?expected=${expected}`,
      body: JSON.stringify(record),
    });
    this.revisions.set(key, revision);
  }

  /** Sends control settings, such as a fault mode, to the stand-in store. */
  async controlStore(control: object): Promise<void> {
    await this.control(this.storePort, control);
  }

  /** Sends control settings, such as a fault mode, to a stand-in target. */
  async controlTarget(number: number, control: object): Promise<void> {
    await this.control(this.targetPorts[number], control);
  }

  /** Reads the run record of a target; undefined if it is not running. */
  async readTargetRecord(number: number): Promise<unknown> {
    if (!this.programs.has(`${ProcessKind.TARGET}-${number}`)) return undefined;
    return callJson({port: this.targetPorts[number], path: '/record'});
  }

  /** Reads the request counts of the stand-in store. */
  async readStoreCounts(): Promise<{total: number}> {
    const report = await callJson<{counts: {total: number}}>({
      port: this.storePort,
      path: '/control',
    });
    return report.counts;
  }

  /** Kills all processes: targets first, then agents, entries and the rest. */
  async stop(): Promise<void> {
    const kinds = [ProcessKind.TARGET, ProcessKind.AGENT, ProcessKind.ENTRY];
    for (const kind of kinds) {
      const names = [...this.programs.keys()].filter(name =>
        name.startsWith(`${kind}-`),
      );
      await Promise.all(
        names.map(name =>
          this.endProcess(kind, parseProcessNumber(name), false),
        ),
      );
    }
    await this.store.dispose();
  }

  private async start(): Promise<void> {
    await this.startStore();
    const {entries, targets, dataCentres} = this.options.settings;
    for (const name of dataCentres) {
      await this.writeRecord('data-centre', name, {service: 'in'});
    }
    for (const {name, weight} of this.options.teams) {
      const limits = {slotsAtMost: 0, tasksPerSecondAtMost: 0};
      await this.writeRecord('team', name, {weight, ...limits});
    }
    await this.startRelays();
    await this.startProcesses(ProcessKind.ENTRY, entries);
    await this.startProcesses(ProcessKind.AGENT, targets);
    await this.startProcesses(ProcessKind.TARGET, targets);
  }

  private async startStore(): Promise<void> {
    const program = await ChildProgram.create({
      program: 'stand_ins/platform_store',
      options: [],
      logFile: join(this.options.folder, 'store.log'),
    });
    this.store.add(() => program.kill());
    this.storePort = program.ready.port as number;
  }

  private async startRelays(): Promise<void> {
    const {agentOneWayMs, folder} = this.options;
    const peerPorts = this.entryPorts.map(ports => ports.peers);
    if (agentOneWayMs === 0) {
      this.advertisedPorts = peerPorts;
      return;
    }
    const relays = await Promise.all(
      peerPorts.map(port =>
        ChildProgram.create({
          program: 'stand_ins/relay',
          options: [`--to=127.0.0.1:${port}`, `--delay-ms=${agentOneWayMs}`],
          logFile: join(folder, `relay-${port}.log`),
        }),
      ),
    );
    for (const relay of relays) this.store.add(() => relay.kill());
    this.advertisedPorts = relays.map(relay => relay.ready.port as number);
  }

  private async startProcesses(
    kind: ProcessKind,
    count: number,
  ): Promise<void> {
    for (let first = 0; first < count; first += MAX_CONCURRENT_STARTS) {
      const numbers = Array.from(
        {length: Math.min(MAX_CONCURRENT_STARTS, count - first)},
        (_, offset) => first + offset,
      );
      await Promise.all(numbers.map(number => this.startProcess(kind, number)));
    }
  }

  private describeProgram(kind: ProcessKind, number: number) {
    const file = join(this.options.folder, `${kind}-${number}.yaml`);
    const options = ['--settings', file];
    switch (kind) {
      case ProcessKind.ENTRY:
        this.writeEntry(file, number);
        return {program: 'src/foxtailbay_entry', options};
      case ProcessKind.AGENT:
        this.writeAgent(file, number);
        return {program: 'src/foxtailbay_agent', options};
      case ProcessKind.TARGET:
        return {
          program: 'stand_ins/target',
          options: this.listTargetOptions(number),
        };
    }
  }

  private writeEntry(file: string, number: number): void {
    const {policy, order} = this.options;
    writeEntryFile({
      file,
      id: `entry-${number}`,
      dataCentre: this.getDataCentre(number),
      ports: this.entryPorts[number],
      advertisedPort: this.advertisedPorts[number],
      storePort: this.storePort,
      policy,
      order,
    });
  }

  private writeAgent(file: string, number: number): void {
    writeAgentFile({
      file,
      id: `agent-${number}`,
      dataCentre: this.getDataCentre(number),
      port: this.agentPorts[number],
      entryPorts: this.advertisedPorts,
      queueLimit: this.options.settings.agentQueueLimit,
    });
  }

  private listTargetOptions(number: number): string[] {
    const {settings} = this.options;
    const options = {
      name: `target-${number}`,
      agent: `http://127.0.0.1:${this.agentPorts[number]}`,
      slots: settings.slots,
      connections: settings.connections,
      speed: 1 / getSlowness(settings, number),
    };
    return Object.entries(options).flatMap(([name, value]) => [
      `--${name}`,
      `${value}`,
    ]);
  }

  private async control(port: number, control: object): Promise<void> {
    const body = JSON.stringify(control);
    await callJson({port, method: 'POST', path: '/control', body});
  }
}

function parseProcessNumber(name: string): number {
  return Number(name.slice(name.lastIndexOf('-') + 1));
}
