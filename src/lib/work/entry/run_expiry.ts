/** When a run at an agent out of reach is over for certain. */
import {LEASE_MS} from '../agent/target_client.js';
import {OWNER_CONTACT_TIMEOUT_MS} from '../agent/work_runner.js';

/** Share by which a target's clock may run slow, and ours fast against it. */
const MAX_CLOCK_DRIFT = 0.03;

/** Time in milliseconds for an agent's last stop to be carried out. */
const STOP_MARGIN_MS = 250;

/**
 * Time in milliseconds after an agent was last heard of when nothing of ours
 * can run there any more. Until `OWNER_SILENCE_MS` it may have gone on and
 * renewed the lease; frozen right then, it left the lease to run out.
 */
export const RUN_EXPIRY_MS =
  OWNER_CONTACT_TIMEOUT_MS + LEASE_MS * (1 + MAX_CLOCK_DRIFT) + STOP_MARGIN_MS;
