/** Places a task that may crash its target where little is lost: a canary run. */
import {listAvailable} from './place_task.js';
import type {ChooseTarget} from './place_task.js';

/** Largest share of its processors that a target may have in use. */
const MAX_USED_SHARE = 0.5;

/** Chooses the target with the least in use; undefined while all have much to lose. */
export const chooseLeastUsed: ChooseTarget = (request, targets) => {
  const shares = listAvailable(request, targets)
    .filter(({isSuspect}) => !isSuspect)
    .map(target => ({
      target,
      used: 1 - target.free.cpuMilli / Math.max(1, target.capacity.cpuMilli),
    }))
    .filter(({used}) => used <= MAX_USED_SHARE)
    .sort((a, b) => a.used - b.used);
  return shares[0]?.target;
};
