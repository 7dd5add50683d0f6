/** The deployment of a soak: programs, targets, stores and relays. */
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {request as createRequest} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {join} from 'node:path';
import {OPERATORS_PREFIX} from '../../platform/configuration_codec.js';
import {readMonotonicMs, startTimer} from '../../src/lib/core/clock.js';
import {DisposableStore} from '../../src/lib/core/disposable_store.js';
import {ENTRIES_PREFIX} from '../../src/lib/work/registered_entries.js';
import {FleetStore} from '../../stand_ins/fleet_store.js';
import {FleetTarget} from '../../stand_ins/fleet_target.js';
import type {RunReport} from '../../stand_ins/fleet_target_run.js';
import {readDemandMilli, readRunMs} from './caller.js';
import {
  CONFIGURATION,
  formatSettings,
  readCommand,
  SERVICE,
} from './deploy_programs.js';
import type {ProgramSettings} from './deploy_programs.js';
import {locateProgram, nameProgram, Role} from './fault.js';
import type {ProgramId, SoakSize} from './fault.js';
import {RelayMessageKind} from './relay_messages.js';
import type {RelayMessage} from './relay_messages.js';
import {RelayThreads} from './relay_threads.js';
import {SoakError} from './soak_error.js';
import {HostBlock, SoakNetwork, SoakPort} from './soak_network.js';
import {SoakProgram} from './soak_program.js';

/** Size, folder and callbacks of a deployment. */
export interface SoakFleetOptions {
  readonly size: SoakSize;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly reportRun: (agent: number, report: RunReport) => void;
  /** Receives that a program ended by itself. */
  readonly reportOwnEnd: (detail: string) => void;
}

const TARGET_CPU_MILLI = 4000;
const READY_TIMEOUT_MS = 60_000;
const READY_PERIOD_MS = 50;
const READY_CALL_TIMEOUT_MS = 1000;
const READY = 200;

/** Seeds of an agent; it learns of the other entries from these. */
const MAX_SEEDS = 3;

/** Starts, connects and ends the processes and stand-ins of a deployment. */
export class SoakFleet {
  /** The target beside each agent. */
  readonly targets: FleetTarget[] = [];
  /** Hosts at which callers reach the entries. */
  readonly entryHosts: readonly string[];

  private readonly store = DisposableStore.create();
  private readonly programs = new Map<string, SoakProgram>();
  private readonly relays: RelayThreads;

  private constructor(
    private readonly options: SoakFleetOptions,
    private readonly network: SoakNetwork,
  ) {
    const length = options.size.entries;
    this.entryHosts = Array.from({length}, (_, entry) =>
      network.getHost(HostBlock.ENTRIES, entry),
    );
    this.store.add(network.release);
    const plans = Array.from({length: options.size.agents}, (_, agent) =>
      this.entryHosts.map((_host, entry) => network.planRelay(agent, entry)),
    );
    this.relays = RelayThreads.create(plans.flat());
    this.store.add(() => this.relays.close());
  }

  /** Starts a deployment; resolves when all entries are ready. */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const network = await SoakNetwork.create(Math.random);
    const fleet = new SoakFleet(options, network);
    try {
      await fleet.start();
    } catch (failure) {
      await fleet.close();
      throw failure;
    }
    return fleet;
  }

  /** Returns a program. */
  getProgram(id: ProgramId): SoakProgram {
    return this.programs.get(nameProgram(id))!;
  }

  /** Sends a message to the relay between an agent and an entry. */
  sendToRelay(message: RelayMessage): void {
    this.relays.send(message);
  }

  /** Ends all processes by their ids, and all stand-ins. */
  close(): Promise<void> {
    return this.store.dispose();
  }

  private async start(): Promise<void> {
    const {agents} = this.options.size;
    const store = await this.openStore();
    store.put(`${OPERATORS_PREFIX}config`, JSON.stringify(CONFIGURATION));
    for (const [index, host] of this.entryHosts.entries()) {
      this.startProgram(
        {role: Role.ENTRY, index},
        {host, seedHosts: this.entryHosts, storeAddress: store.address},
      );
    }
    for (let agent = 0; agent < agents; agent += 1) {
      await this.startAgent(agent);
    }
    const untilMs = readMonotonicMs() + READY_TIMEOUT_MS;
    for (const host of this.entryHosts) {
      const isReady = (status: number) => status === READY;
      await this.awaitStatus(host, isReady, untilMs);
      if (readMonotonicMs() < untilMs) continue;
      throw new SoakError(
        `Entry ${host} is not ready within ${READY_TIMEOUT_MS} ms.`,
      );
    }
  }

  private async startAgent(index: number): Promise<void> {
    const {network, entryHosts} = this;
    const host = network.getHost(HostBlock.AGENTS, index);
    const target = await FleetTarget.create({
      id: `target-${index + 1}`,
      service: SERVICE,
      dataCentre: this.nameDataCentre(index),
      host: network.getHost(HostBlock.TARGETS, index),
      cpuMilli: TARGET_CPU_MILLI,
      agentAddress: `${host}:${SoakPort.TARGET_HEARTBEAT}`,
      computeRunMs: readRunMs,
      computeDemandMilli: readDemandMilli,
      reportRun: report => this.options.reportRun(index, report),
    });
    this.targets.push(target);
    this.store.add(() => target.close());
    // A store of its own, since the addresses of the entries differ for each agent.
    const store = await this.openStore();
    const relayHosts = entryHosts.map((_, entry) => {
      const relayHost = network.getRelayHost(index, entry);
      const address = `${relayHost}:${SoakPort.LINK}`;
      const id = nameProgram({role: Role.ENTRY, index: entry});
      const text = JSON.stringify({id, incarnation: id, address});
      store.put(ENTRIES_PREFIX + id, text);
      return relayHost;
    });
    const first = index % relayHosts.length;
    const rotated = [...relayHosts.slice(first), ...relayHosts.slice(0, first)];
    this.startProgram(
      {role: Role.AGENT, index},
      {
        host,
        seedHosts: rotated.slice(0, MAX_SEEDS),
        storeAddress: store.address,
        targetAddress: target.address,
      },
    );
  }

  private startProgram(
    id: ProgramId,
    settings: Omit<ProgramSettings, 'name' | 'role' | 'dataCentre'>,
  ): void {
    const {folder, reportOwnEnd} = this.options;
    const {role, index} = id;
    const name = nameProgram(id);
    const dataCentre = this.nameDataCentre(index);
    const settingsFile = join(folder, `${name}.json`);
    const text = formatSettings({...settings, name, role, dataCentre});
    writeFileSync(settingsFile, text);
    const isEntry = role === Role.ENTRY;
    const program = SoakProgram.create({
      command: readCommand(role),
      settingsFile,
      logFile: join(folder, `${name}.log`),
      reportStart: () => void (isEntry && this.openRelays(index)),
      reportEnd: () => void (isEntry && this.setEntryUp(index, false)),
      reportOwnEnd: detail => reportOwnEnd(`${name}: ${detail}`),
    });
    this.programs.set(name, program);
    this.store.add(() => program.close());
  }

  /** Lets agents connect to an entry once it answers. */
  private async openRelays(entry: number): Promise<void> {
    const isUp = (status: number) => status !== 0;
    await this.awaitStatus(this.entryHosts[entry], isUp, Infinity);
    if (!this.store.isDisposed) this.setEntryUp(entry, true);
  }

  private setEntryUp(entry: number, isUp: boolean): void {
    for (let agent = 0; agent < this.options.size.agents; agent += 1) {
      this.relays.send({kind: RelayMessageKind.ENTRY_UP, agent, entry, isUp});
    }
  }

  /** Waits until an entry's readiness fits, the time is over or the soak ends. */
  private async awaitStatus(
    host: string,
    isFit: (status: number) => boolean,
    untilMs: number,
  ): Promise<void> {
    while (!this.store.isDisposed && readMonotonicMs() < untilMs) {
      if (isFit(await askReadiness(host))) return;
      await new Promise<void>(resolve => startTimer(READY_PERIOD_MS, resolve));
    }
  }

  private async openStore(): Promise<FleetStore> {
    const store = await FleetStore.create();
    this.store.add(() => store.close());
    return store;
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
    const [response] = (await once(request, 'response')) as [IncomingMessage];
    response.resume();
    return response.statusCode ?? 0;
  } catch {
    return 0;
  }
}
