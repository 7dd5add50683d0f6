/** Passes the configuration from an entry that has it to entries that lack it. */
import {ConfigurationRequests} from '../../decisions/configuration_requests.js';
import type {FleetConfiguration} from '../../core/fleet_configuration.js';
import {AgentFrameKind} from '../../core/work_frames.js';
import type {AgentFrame, ConfigurationSummary} from '../../core/work_frames.js';
import type {KnownEntry} from './entry_registry.js';

/** Dependencies of a relay. */
export interface ConfigurationRelayOptions {
  readonly listEntries: () => readonly KnownEntry[];
  readonly send: (entry: KnownEntry, frame: AgentFrame) => void;
}

const NO_CONFIGURATION: ConfigurationSummary = {
  revision: 0,
  dataCentresOut: [],
};

/**
 * Keeps the summary of the newest configuration, which is all that the agent
 * needs. A body passes through the agent only for an entry that cannot read it
 * from the store, and is not kept.
 */
export class ConfigurationRelay {
  private current = NO_CONFIGURATION;
  private readonly requests = ConfigurationRequests.create(0);
  /** Revisions that entries have requested, by incarnation. */
  private readonly requested = new Map<string, number>();

  private constructor(private readonly options: ConfigurationRelayOptions) {}

  /** Creates a relay that knows no configuration. */
  static create(options: ConfigurationRelayOptions): ConfigurationRelay {
    return new ConfigurationRelay(options);
  }

  /** The summary of the newest configuration. */
  get summary(): ConfigurationSummary {
    return this.current;
  }

  /** Stores a summary; returns whether it is newer than the current one. */
  applySummary({revision, dataCentresOut}: ConfigurationSummary): boolean {
    if (revision <= this.current.revision) return false;
    this.current = {revision, dataCentresOut};
    return true;
  }

  /** Handles the request of an entry that lacks a revision. */
  request(entry: KnownEntry, revision: number, nowMs: number): void {
    this.requested.set(entry.incarnation, revision);
    this.requests.add(revision, nowMs);
    this.advance(nowMs);
  }

  /** Sends a body to the entries that have requested it. */
  deliver(configuration: FleetConfiguration): void {
    for (const entry of this.options.listEntries()) {
      const revision = this.requested.get(entry.incarnation);
      if (revision === undefined || revision > configuration.revision) continue;
      this.requested.delete(entry.incarnation);
      this.options.send(entry, {
        kind: AgentFrameKind.CONFIGURATION,
        configuration,
      });
    }
  }

  /** Requests a body that is wanted from the next entry that has it. */
  advance(nowMs: number): void {
    if (this.requested.size === 0) return;
    const linked = new Map(
      this.options
        .listEntries()
        .filter(entry => entry.linkId !== undefined)
        .map(entry => [entry.incarnation, entry]),
    );
    for (const incarnation of this.requested.keys()) {
      if (!linked.has(incarnation)) this.requested.delete(incarnation);
    }
    const lowest = Math.min(...this.requested.values());
    const holders = [...linked.values()]
      .filter(({incarnation}) => !this.requested.has(incarnation))
      .map(({incarnation: id, revision}) => ({id, revision}));
    const holder = this.requests.choose(lowest - 1, holders, nowMs);
    const entry = holder && linked.get(holder.id);
    if (entry === undefined) return;
    const kind = AgentFrameKind.CONFIGURATION_REQUEST;
    this.options.send(entry, {kind, revision: lowest});
  }
}
