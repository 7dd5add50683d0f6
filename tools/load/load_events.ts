/** Performs the scheduled events of a load, such as faults and restarts. */
import type {Callers} from './caller.js';
import {ProcessKind} from './fleet.js';
import type {Fleet} from './fleet.js';
import {LoadEventKind} from './load_settings.js';
import type {LoadEvent} from './load_settings.js';

/** Performs one event on the fleet or the callers. */
export async function performEvent(
  event: LoadEvent,
  fleet: Fleet,
  callers: Callers,
): Promise<void> {
  const number = Number(event.subject);
  switch (event.kind) {
    case LoadEventKind.DATA_CENTRE_OUT:
      return fleet.writeRecord('data-centre', event.subject, {service: 'out'});
    case LoadEventKind.DATA_CENTRE_IN:
      return fleet.writeRecord('data-centre', event.subject, {service: 'in'});
    case LoadEventKind.TARGET_FAILS:
      return fleet.controlTarget(number, {mode: 'fail-all'});
    case LoadEventKind.TARGET_HANGS:
      return fleet.controlTarget(number, {mode: 'hang'});
    case LoadEventKind.TARGET_RECOVERS:
      return fleet.controlTarget(number, {mode: 'normal'});
    case LoadEventKind.KILL_TARGET:
      return fleet.endProcess(ProcessKind.TARGET, number, false);
    case LoadEventKind.START_TARGET:
      return fleet.startProcess(ProcessKind.TARGET, number);
    case LoadEventKind.KILL_AGENT:
      return fleet.endProcess(ProcessKind.AGENT, number, false);
    case LoadEventKind.START_AGENT:
      return fleet.startProcess(ProcessKind.AGENT, number);
    case LoadEventKind.KILL_ENTRY:
      return fleet.endProcess(ProcessKind.ENTRY, number, false);
    case LoadEventKind.STOP_ENTRY:
      return fleet.endProcess(ProcessKind.ENTRY, number, true);
    case LoadEventKind.START_ENTRY:
      return fleet.startProcess(ProcessKind.ENTRY, number);
    case LoadEventKind.STORE_DOWN:
      return fleet.controlStore({mode: 'down'});
    case LoadEventKind.STORE_UP:
      return fleet.controlStore({mode: 'up'});
    case LoadEventKind.CANCEL_JOBS:
      callers.cancelShare(number);
      return;
  }
}
