/** Decides whether an agent may start tasks, based on evidence that expires. */
import {Chart} from '../core/chart.js';
import {readChart} from '../core/chart_file.js';
import {StoreContact} from '../records/configuration_view.js';
import {NotStartedReason} from '../core/link_messages.js';
import type {AgentConfiguration, EntryPong} from '../core/link_messages.js';

/** States of `charts/data_centre.yaml`. */
export enum DataCentreState {
  UNKNOWN = 'unknown',
  IN = 'in',
  OUT = 'out',
}

/** Events of `charts/data_centre.yaml`. */
export enum DataCentreEvent {
  CONFIRM_IN = 'confirmIn',
  CONFIRM_OUT = 'confirmOut',
  EXPIRE = 'expire',
}

/** Actions of `charts/data_centre.yaml`. */
export enum DataCentreAction {
  RETURN_QUEUED = 'returnQueued',
}

/** The last confirmation by one entry. */
interface EntryConfirmation {
  readonly contact: StoreContact;
  /** Agent's time at which the ping answered by this confirmation was sent. */
  readonly pingSentAtMs: number;
  /** Agent's time at or before which `revision` was the newest in the store. */
  readonly evidenceAtMs: number;
  readonly revision: number;
}

/** Decision on whether starts are allowed. */
export interface PermissionDecision {
  readonly state: DataCentreState;
  /** Time in milliseconds up to which starts are allowed, or 0. */
  readonly expiresAtMs: number;
  readonly actions: readonly string[];
}

/** Options of a start permission. */
export interface StartPermissionOptions {
  readonly dataCentre: string;
  /** Maximum age in milliseconds of evidence that allows a start. */
  readonly freshMs: number;
}

/** Number of freshness periods after which a confirmation is removed. */
const CONFIRMATION_LIFETIME_PERIODS = 4;

/**
 * Holds the newest configuration and the confirmations of entries, and decides
 * from them whether a task may start now.
 *
 * A start needs either fresh evidence from one entry that has confirmed this
 * revision with the store, or fresh answers of a majority of the known entries,
 * whether or not they have contact with the store. No task may start while an
 * entry reports a newer revision. Both are dated from the time the agent *sent* its
 * ping, the former less the age that the entry states, so that an answer which
 * waited in a buffer or in a suspended process is old when it is read.
 */
export class StartPermission {
  private readonly chart = Chart.create(readChart('data_centre'), {
    states: DataCentreState,
    events: DataCentreEvent,
    actions: Object.values(DataCentreAction),
  });
  private readonly confirmations = new Map<string, EntryConfirmation>();
  private state: DataCentreState = this.chart.initial;
  private current: AgentConfiguration = {
    revision: 0,
    dataCentresOut: [],
    entries: [],
  };

  private constructor(private readonly options: StartPermissionOptions) {}

  /** Creates a permission without evidence: no task may start. */
  static create(options: StartPermissionOptions): StartPermission {
    return new StartPermission(options);
  }

  /** The newest configuration received. */
  get configuration(): AgentConfiguration {
    return this.current;
  }

  /**
   * Adopts a configuration if it is newer than the current one.
   *
   * @return whether it was adopted; an older one never is.
   */
  adoptConfiguration(configuration: AgentConfiguration): boolean {
    if (configuration.revision <= this.current.revision) return false;
    this.current = configuration;
    return true;
  }

  /** Records an entry's answer to a ping; `entry` is the entry's id. */
  confirm(entry: string, pong: EntryPong): void {
    const known = this.confirmations.get(entry);
    if (known !== undefined && known.pingSentAtMs > pong.pingSentAtMs) return;
    this.confirmations.set(entry, {
      contact: pong.contact,
      pingSentAtMs: pong.pingSentAtMs,
      evidenceAtMs: pong.pingSentAtMs - Math.max(0, pong.confirmedAgeMs),
      revision: pong.configurationRevision,
    });
  }

  /** Decides whether tasks may start at `nowMs` of the agent's own clock. */
  judge(nowMs: number): PermissionDecision {
    this.removeOldConfirmations(nowMs);
    const expiresAtMs = this.findExpiry(nowMs);
    const event = this.chooseEvent(nowMs, expiresAtMs);
    const step = this.chart.step(this.state, event);
    this.state = step.state;
    const isIn = step.state === DataCentreState.IN;
    return {
      state: step.state,
      expiresAtMs: isIn ? expiresAtMs : 0,
      actions: step.actions,
    };
  }

  private chooseEvent(nowMs: number, expiresAtMs: number): DataCentreEvent {
    const isOut = this.current.dataCentresOut.includes(this.options.dataCentre);
    if (isOut) return DataCentreEvent.CONFIRM_OUT;
    if (expiresAtMs <= nowMs) return DataCentreEvent.EXPIRE;
    return DataCentreEvent.CONFIRM_IN;
  }

  private findExpiry(nowMs: number): number {
    const isBehind = [...this.confirmations.values()].some(
      confirmation => confirmation.revision > this.current.revision,
    );
    if (isBehind || this.current.revision === 0) return 0;
    return Math.max(this.findConfirmedExpiry(), this.findOutageExpiry(nowMs));
  }

  private findConfirmedExpiry(): number {
    let newest = Number.NEGATIVE_INFINITY;
    for (const confirmation of this.confirmations.values()) {
      if (confirmation.contact !== StoreContact.CONFIRMED) continue;
      if (confirmation.revision < this.current.revision) continue;
      newest = Math.max(newest, confirmation.evidenceAtMs);
    }
    return newest + this.options.freshMs;
  }

  // An operator's change is accepted only once a majority of the entries hold it,
  // so any majority that answers includes an entry that would show it.
  private findOutageExpiry(nowMs: number): number {
    const needed = Math.floor(this.current.entries.length / 2) + 1;
    const times: number[] = [];
    for (const entry of this.current.entries) {
      const confirmation = this.confirmations.get(entry.id);
      if (confirmation === undefined) continue;
      const isFresh = confirmation.pingSentAtMs + this.options.freshMs > nowMs;
      if (isFresh) times.push(confirmation.pingSentAtMs);
    }
    if (times.length < needed) return 0;
    times.sort((left, right) => right - left);
    return times[needed - 1] + this.options.freshMs;
  }

  private removeOldConfirmations(nowMs: number): void {
    const limitMs = this.options.freshMs * CONFIRMATION_LIFETIME_PERIODS;
    for (const [entry, last] of this.confirmations) {
      if (nowMs - last.pingSentAtMs > limitMs) this.confirmations.delete(entry);
    }
  }
}

/** Returns why no task may start under a decision, or `NONE` if tasks may start. */
export function findRefusal(
  decision: PermissionDecision,
  nowMs: number,
): NotStartedReason {
  if (decision.state === DataCentreState.OUT) {
    return NotStartedReason.DATA_CENTRE_OUT;
  }
  if (decision.expiresAtMs <= nowMs) return NotStartedReason.NO_PERMISSION;
  return NotStartedReason.NONE;
}
