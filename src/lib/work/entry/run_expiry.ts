/** Time after which a run at an unreachable agent is certainly over. */
import {OWNER_CONTACT_TIMEOUT_MS} from '../../decisions/owner_contact.js';
import {LEASE_MS} from '../agent/target_client.js';

/** Maximum share by which a target's clock may run slower than the local one. */
const MAX_CLOCK_DRIFT = 0.03;

/** Time in milliseconds for an agent's last stop request to take effect. */
const STOP_MARGIN_MS = 250;

/**
 * Time in milliseconds since the last ping of an agent after which no run of this
 * entry can be in progress there. Until `OWNER_CONTACT_TIMEOUT_MS` the agent may
 * have renewed the target's lease; if it froze at that moment, the target ended
 * the runs only when the lease expired.
 */
export const RUN_EXPIRY_MS =
  OWNER_CONTACT_TIMEOUT_MS + LEASE_MS * (1 + MAX_CLOCK_DRIFT) + STOP_MARGIN_MS;
