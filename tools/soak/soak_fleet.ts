/** The deployment of a soak: programs, targets, stores and relays. */
import {once} from 'node:events';
import {request as createRequest} from 'node:http';
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {OPERATORS_PREFIX} from '../../platform/configuration_codec.js';
import {startTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {ENTRIES_PREFIX} from '../../src/lib/work/registered_entries.js';
import {FleetStore} from '../../stand_ins/fleet_store.js';
import {FleetTarget} from '../../stand_ins/fleet_target.js';
import type {RunReport} from '../../stand_ins/fleet_target_run.js';
import {AgentRelay} from './agent_relay.js';
import {readDemandMilli, readRunMs} from './caller.js';
import {
  formatConfiguration,
  formatSettings,
  readCommand,
  SERVICE,
} from './deploy_programs.js';
import type {ProgramSettings} from './deploy_programs.js';
import {locateProgram, Role} from './fault.js';
import type {ProgramId, SoakSize} from './fault.js';
import {SoakError} from './soak_error.js';
import {SoakNetwork, SoakPort} from './soak_network.js';
import {SoakProgram} from './soak_program.js';

/** Size, folder and callbacks of a deployment. */
export interface SoakFleetOptions {
  readonly size: SoakSize;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly reportRun: (agent: number, report: RunReport) => void;
  /** Receives that a program ended by itself. */
  readonly reportOwnEnd: (program: string, detail: string) => void;
}

const TARGET_CPU_MILLI = 4000;
const READY_TIMEOUT_MS = 60_000;
const READY_PERIOD_MS = 50;
const READY_CALL_TIMEOUT_MS = 1000;

/** Seeds of an agent; it learns of the other entries from these. */
const MAX_SEEDS = 3;

/** Returns the name of a program, as its settings and logs have it. */
export function nameProgram({role, index}: ProgramId): string {
  return `${role}-${index + 1}`;
}

/** Starts, connects and ends the processes and stand-ins of a deployment. */
export class SoakFleet {
  /** The target beside each agent. */
  readonly targets: FleetTarget[] = [];

  private readonly store = DisposableStore.create();
  private readonly programs = new Map<string, SoakProgram>();
  /** The relays of each agent, by entry. */
  private readonly relays: AgentRelay[][] = [];

  private constructor(
    private readonly options: SoakFleetOptions,
    private readonly network: SoakNetwork,
  ) {}

  /** Starts a deployment; resolves when all entries are ready. */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const fleet = new SoakFleet(options, await SoakNetwork.create(Math.random));
    fleet.store.add(fleet.network.release);
    try {
      await fleet.start();
      await fleet.awaitReady();
    } catch (failure) {
      await fleet.close();
      throw failure;
    }
    return fleet;
  }

  /** Hosts at which callers reach the entries. */
  get entryHosts(): readonly string[] {
    return this.listEntries().map(entry => this.network.getEntryHost(entry));
  }

  /** Returns a program. */
  getProgram(id: ProgramId): SoakProgram {
    return this.programs.get(nameProgram(id))!;
  }

  /** Returns the relay between an agent and an entry. */
  getRelay(agent: number, entry: number): AgentRelay {
    return this.relays[agent][entry];
  }

  /** Ends all processes by their ids, and all stand-ins. */
  close(): Promise<void> {
    return this.store.dispose();
  }

  private async start(): Promise<void> {
    const {agents} = this.options.size;
    const store = await this.openStore();
    store.put(`${OPERATORS_PREFIX}config`, formatConfiguration());
    for (let agent = 0; agent < agents; agent += 1) this.createRelays(agent);
    for (const entry of this.listEntries()) {
      this.startProgram(
        {role: Role.ENTRY, index: entry},
        {
          host: this.network.getEntryHost(entry),
          seedHosts: this.entryHosts,
          storeAddress: store.address,
        },
      );
    }
    for (let agent = 0; agent < agents; agent += 1) {
      await this.startAgent(agent);
    }
  }

  private async startAgent(agent: number): Promise<void> {
    const {network} = this;
    const host = network.getAgentHost(agent);
    const target = await FleetTarget.create({
      id: `target-${agent + 1}`,
      service: SERVICE,
      dataCentre: this.nameDataCentre(agent),
      host: network.getTargetHost(agent),
      cpuMilli: TARGET_CPU_MILLI,
      agentAddress: `${host}:${SoakPort.TARGET_HEARTBEAT}`,
      computeRunMs: readRunMs,
      computeDemandMilli: readDemandMilli,
      reportRun: report => this.options.reportRun(agent, report),
    });
    this.targets.push(target);
    this.store.add(() => target.close());
    const entries = this.listEntries();
    const hosts = entries.map(
      entry => network.getRelayAddress(agent, entry).host,
    );
    const first = agent % entries.length;
    const rotated = [...hosts.slice(first), ...hosts.slice(0, first)];
    const store = await this.openStore();
    for (const [entry, relayHost] of hosts.entries()) {
      const id = nameProgram({role: Role.ENTRY, index: entry});
      const address = `${relayHost}:${SoakPort.LINK}`;
      const text = JSON.stringify({id, incarnation: id, address, lease: ''});
      store.put(ENTRIES_PREFIX + id, text);
    }
    this.startProgram(
      {role: Role.AGENT, index: agent},
      {
        host,
        seedHosts: rotated.slice(0, MAX_SEEDS),
        storeAddress: store.address,
        targetAddress: target.address,
      },
    );
  }

  private createRelays(agent: number): void {
    const {network} = this;
    const translate = network.createTranslation(agent);
    const relays = this.listEntries().map(entry => {
      const address = network.getRelayAddress(agent, entry);
      const to = network.getLinkAddress(entry);
      return AgentRelay.create(address, to, translate);
    });
    this.relays.push(relays);
    for (const relay of relays) this.store.add(() => relay.close());
  }

  private startProgram(
    id: ProgramId,
    settings: Omit<ProgramSettings, 'name' | 'role' | 'dataCentre'>,
  ): void {
    const {folder, reportOwnEnd} = this.options;
    const name = nameProgram(id);
    const {role, index} = id;
    const dataCentre = this.nameDataCentre(index);
    const settingsFile = join(folder, `${name}.json`);
    const text = formatSettings({...settings, name, role, dataCentre});
    writeFileSync(settingsFile, text);
    const isEntry = role === Role.ENTRY;
    const program = SoakProgram.create({
      command: readCommand(role),
      settingsFile,
      logFile: join(folder, `${name}.log`),
      reportStart: () => {
        if (isEntry) void this.openRelays(index);
      },
      reportEnd: () => {
        if (isEntry) this.setEntryUp(index, false);
      },
      reportOwnEnd: detail => reportOwnEnd(name, detail),
    });
    this.programs.set(name, program);
    this.store.add(() => program.close());
  }

  /** Lets agents connect to an entry once it answers. */
  private async openRelays(entry: number): Promise<void> {
    const host = this.network.getEntryHost(entry);
    while (!this.store.isDisposed) {
      if ((await askReadiness(host)) !== 0) break;
      await pause(READY_PERIOD_MS);
    }
    if (!this.store.isDisposed) this.setEntryUp(entry, true);
  }

  private setEntryUp(entry: number, isUp: boolean): void {
    for (const relays of this.relays) relays[entry].setEntryUp(isUp);
  }

  private async awaitReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    for (const host of this.entryHosts) {
      while ((await askReadiness(host)) !== 200) {
        if (performance.now() > untilMs) {
          const text = `Entry ${host} is not ready after ${READY_TIMEOUT_MS} ms.`;
          throw new SoakError(`${text} See ${this.options.folder}.`);
        }
        await pause(READY_PERIOD_MS);
      }
    }
  }

  private async openStore(): Promise<FleetStore> {
    const store = await FleetStore.create();
    this.store.add(() => store.close());
    return store;
  }

  private listEntries(): readonly number[] {
    return Array.from({length: this.options.size.entries}, (_, index) => index);
  }

  private nameDataCentre(index: number): string {
    return `zone-${locateProgram(index, this.options.size) + 1}`;
  }
}

/** Asks an entry whether it is ready; returns the status, 0 without an answer. */
async function askReadiness(host: string): Promise<number> {
  const request = createRequest({
    host,
    port: SoakPort.READY,
    path: '/v1/ready',
    agent: false,
    timeout: READY_CALL_TIMEOUT_MS,
  });
  request.on('timeout', () => request.destroy());
  request.end();
  try {
    const [response] = await once(request, 'response');
    response.resume();
    return response.statusCode;
  } catch {
    return 0;
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => startTimer(durationMs, resolve));
}
