/** Control messages that are sent to the stand-ins over HTTP. */
import {LinkMode, StoreMode} from './step.js';
import type {LinkStep, StoreStep, TargetStep} from './step.js';
import {readReply} from './http_call.js';
import type {CallHttp, HttpCall} from './http_call.js';

/** Creates the control message for a step on the store. */
export function createStoreControl(step: StoreStep, revision: number): object {
  switch (step.mode) {
    case StoreMode.UP:
      return {mode: 'up', slowMs: 0, loseReplies: 'none', staleRevision: null};
    case StoreMode.DOWN:
    case StoreMode.HANG:
      return {mode: step.mode};
    case StoreMode.SLOW:
      return {slowMs: step.slowMs};
    case StoreMode.STALE:
      return {staleRevision: revision};
    case StoreMode.LOSE_NEXT_REPLY:
      return {loseReplies: 'next-write'};
    case StoreMode.LOSE_ALL_REPLIES:
      return {loseReplies: 'all-writes'};
    case StoreMode.CUT_WATCHES:
      return {cutWatches: true};
    case StoreMode.COMPACT:
      return {compact: true};
    case StoreMode.LEASES_EXPIRE:
      return {leasesExpireInOutage: true};
  }
}

/** Creates the control message for a step on a relay. */
export function createLinkControl(step: LinkStep): object {
  switch (step.mode) {
    case LinkMode.CUT:
      return {direction: 'both', action: 'hold'};
    case LinkMode.CUT_FORWARD:
      return {direction: 'forward', action: 'hold'};
    case LinkMode.CUT_BACK:
      return {direction: 'backward', action: 'hold'};
    case LinkMode.CLOSE:
      return {direction: 'both', action: 'close'};
    case LinkMode.RESET:
      return {reset: true};
    case LinkMode.SLOW:
      return {delayMs: step.delayMs};
    case LinkMode.RESTORE:
      return {direction: 'both', action: 'restore', delayMs: 0};
  }
}

/** Creates the control message for a step on a target. */
export function createTargetControl(step: TargetStep): object {
  return {mode: step.mode, factor: step.factor};
}

/** Sends a control message. @throws ScenarioError if the stand-in rejects it. */
export async function postControl(
  callHttp: CallHttp,
  address: string,
  body: object,
): Promise<void> {
  const call: HttpCall = {method: 'POST', url: `${address}/control`, body};
  readReply(call, await callHttp(call));
}
