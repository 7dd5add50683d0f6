/** Decides whether an agent may start tasks, from evidence that ages. */
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

/** What one entry last vouched for. */
interface Voucher {
  readonly contact: StoreContact;
  /** Agent's time at which the ping was sent that this voucher answers. */
  readonly pingSentAtMs: number;
  /** Agent's time at or before which the store held `revision` as newest. */
  readonly evidenceAtMs: number;
  readonly revision: number;
}

/** Why starts are allowed or not. */
export interface PermissionDecision {
  readonly state: DataCentreState;
  /** Time in milliseconds up to which starts are allowed, or 0. */
  readonly expiresAtMs: number;
  readonly actions: readonly string[];
}

/** What the book needs to be created. */
export interface StartPermissionOptions {
  readonly dataCentre: string;
  /** Longest age in milliseconds of evidence that still allows a start. */
  readonly freshMs: number;
}

/** Forgets vouchers of entries that have not answered for this many periods. */
const FORGET_AFTER_PERIODS = 4;

/**
 * Keeps the newest configuration and the vouchers of entries, and judges from
 * them whether a task may start now.
 *
 * A start needs either one fresh voucher of an entry whose store contact is
 * confirmed, or fresh vouchers of a majority of the known entries that have all
 * lost the store. Evidence counts from the time the agent *sent* its ping less
 * the age the entry states, so that an answer which waited in a buffer, or in
 * a frozen process, is old when it is read.
 */
export class StartPermission {
  private readonly chart = Chart.create(readChart('data_centre'), {
    states: DataCentreState,
    events: DataCentreEvent,
    actions: Object.values(DataCentreAction),
  });
  private readonly vouchers = new Map<string, Voucher>();
  private state: DataCentreState = this.chart.initial;
  private held: AgentConfiguration = {
    revision: 0,
    dataCentresOut: [],
    entries: [],
  };

  private constructor(private readonly options: StartPermissionOptions) {}

  /** Creates a book without evidence: nothing may start. */
  static create(options: StartPermissionOptions): StartPermission {
    return new StartPermission(options);
  }

  /** The newest configuration seen. */
  get configuration(): AgentConfiguration {
    return this.held;
  }

  /**
   * Takes a configuration if it is newer than the one held.
   *
   * @return whether it was taken; an older one never is.
   */
  learn(configuration: AgentConfiguration): boolean {
    if (configuration.revision <= this.held.revision) return false;
    this.held = configuration;
    return true;
  }

  /** Takes an entry's answer to a ping. `entry` is the entry's id. */
  confirm(entry: string, pong: EntryPong): void {
    const known = this.vouchers.get(entry);
    if (known !== undefined && known.pingSentAtMs > pong.pingSentAtMs) return;
    this.vouchers.set(entry, {
      contact: pong.contact,
      pingSentAtMs: pong.pingSentAtMs,
      evidenceAtMs: pong.pingSentAtMs - Math.max(0, pong.confirmedAgeMs),
      revision: pong.configurationRevision,
    });
  }

  /** Judges whether tasks may start at `nowMs` of the agent's own clock. */
  judge(nowMs: number): PermissionDecision {
    this.forgetOldVouchers(nowMs);
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
    const isOut = this.held.dataCentresOut.includes(this.options.dataCentre);
    if (isOut) return DataCentreEvent.CONFIRM_OUT;
    if (expiresAtMs <= nowMs) return DataCentreEvent.EXPIRE;
    return DataCentreEvent.CONFIRM_IN;
  }

  private findExpiry(nowMs: number): number {
    const isBehind = [...this.vouchers.values()].some(
      voucher => voucher.revision > this.held.revision,
    );
    if (isBehind || this.held.revision === 0) return 0;
    return Math.max(this.findConfirmedExpiry(), this.findOutageExpiry(nowMs));
  }

  private findConfirmedExpiry(): number {
    let newest = Number.NEGATIVE_INFINITY;
    for (const voucher of this.vouchers.values()) {
      if (voucher.contact !== StoreContact.CONFIRMED) continue;
      if (voucher.revision < this.held.revision) continue;
      newest = Math.max(newest, voucher.evidenceAtMs);
    }
    return newest + this.options.freshMs;
  }

  // An operator's change is accepted only when a majority of the entries hold
  // it, so any majority that answers includes one that would show it.
  private findOutageExpiry(nowMs: number): number {
    const needed = Math.floor(this.held.entries.length / 2) + 1;
    const times: number[] = [];
    for (const entry of this.held.entries) {
      const voucher = this.vouchers.get(entry.id);
      if (voucher === undefined) continue;
      const isFresh = voucher.pingSentAtMs + this.options.freshMs > nowMs;
      if (isFresh) times.push(voucher.pingSentAtMs);
    }
    if (times.length < needed) return 0;
    times.sort((left, right) => right - left);
    return times[needed - 1] + this.options.freshMs;
  }

  private forgetOldVouchers(nowMs: number): void {
    const limitMs = this.options.freshMs * FORGET_AFTER_PERIODS;
    for (const [entry, voucher] of this.vouchers) {
      if (nowMs - voucher.pingSentAtMs > limitMs) this.vouchers.delete(entry);
    }
  }
}

/** Returns why no task may start under a judgement, or `NONE` if one may. */
export function findRefusal(
  judgement: PermissionDecision,
  nowMs: number,
): NotStartedReason {
  if (judgement.state === DataCentreState.OUT) {
    return NotStartedReason.DATA_CENTRE_OUT;
  }
  if (judgement.expiresAtMs <= nowMs) return NotStartedReason.NO_PERMISSION;
  return NotStartedReason.NONE;
}
