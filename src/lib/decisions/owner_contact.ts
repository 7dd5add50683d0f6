/**
 * Lease of an entry on its runs at an agent, renewed by round trips that the
 * agent began itself.
 *
 * The arrival of a message says nothing about when it was sent: orders and hellos
 * that reach a frozen or disconnected agent are read when it resumes, after their
 * sender may have placed the tasks elsewhere.
 */

/**
 * Time in milliseconds without contact with an entry after which its runs are
 * stopped and its orders are refused. The entry relies on this limit before it
 * repeats the runs elsewhere.
 */
export const OWNER_CONTACT_TIMEOUT_MS = 600;

/**
 * Time in milliseconds that an entry has to answer after a suspension of the
 * agent's host, whose length the agent cannot measure.
 */
export const RESUME_GRACE_MS = 300;

/** Times by which the contact with an entry is judged, in monotonic milliseconds. */
export interface OwnerContact {
  /** Send time of the agent's latest message that the entry has answered. */
  readonly lastContactMs: number;
  /** End of the latest suspension of the agent's host; 0 before the first. */
  readonly resumedAtMs: number;
}

/** Returns whether runs of the entry may be started: it still counts on them. */
export function isContactFresh(contact: OwnerContact, nowMs: number): boolean {
  const {lastContactMs, resumedAtMs} = contact;
  return (
    lastContactMs > resumedAtMs &&
    nowMs - lastContactMs <= OWNER_CONTACT_TIMEOUT_MS
  );
}

/** Returns whether the runs of the entry must be stopped. */
export function isContactLost(contact: OwnerContact, nowMs: number): boolean {
  return nowMs > computeContactEnd(contact);
}

/** Returns the time at which the contact ends, or has ended, without an answer. */
export function computeContactEnd(contact: OwnerContact): number {
  const {lastContactMs, resumedAtMs} = contact;
  const endMs = lastContactMs + OWNER_CONTACT_TIMEOUT_MS;
  if (lastContactMs > resumedAtMs) return endMs;
  return Math.min(endMs, resumedAtMs + RESUME_GRACE_MS);
}
