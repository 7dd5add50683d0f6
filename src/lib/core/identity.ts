/** Identities of processes and tasks. */
import {randomBytes} from 'node:crypto';

/** Identity of one incarnation of a process; each restart makes a new one. */
export interface ProcessIdentity {
  /** Name from the settings; stays the same across restarts. */
  readonly id: string;
  /** Random identifier, different for each start of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
}

const INCARNATION_BYTES = 9;

/** Creates a random incarnation that is unique among all processes. */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('base64url');
}

/** Creates the identity of a starting process, with a new incarnation. */
export function createIdentity(
  id: string,
  dataCentre: string,
): ProcessIdentity {
  return {id, incarnation: createIncarnation(), dataCentre};
}

/** Identity of a task: its job and its index in the job. */
export interface TaskIdentity {
  readonly job: string;
  readonly index: number;
}
