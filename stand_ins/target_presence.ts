/**
 * States and events of the target stand-in's presence chart, and the event of
 * each mode.
 */
import {TargetMode} from './target_work.js';

/** States of `charts/target_stand_in.yaml`. */
export enum Presence {
  PRESENT = 'present',
  SILENT = 'silent',
  LEAVING = 'leaving',
  LEFT = 'left',
}

/** Events of `charts/target_stand_in.yaml`. */
export enum PresenceEvent {
  RENEW = 'renew',
  SILENCE = 'silence',
  RESTORE = 'restore',
  LEAVE = 'leave',
  IDLE = 'idle',
}

/** Event that a change to a mode sends to the chart. */
export const PRESENCE_EVENT_BY_MODE: Readonly<
  Record<TargetMode, PresenceEvent>
> = {
  [TargetMode.NORMAL]: PresenceEvent.RESTORE,
  [TargetMode.FAIL_ALL]: PresenceEvent.RESTORE,
  [TargetMode.HANG]: PresenceEvent.RESTORE,
  [TargetMode.SLOW]: PresenceEvent.RESTORE,
  [TargetMode.SILENT]: PresenceEvent.SILENCE,
  [TargetMode.LEAVE]: PresenceEvent.LEAVE,
};
