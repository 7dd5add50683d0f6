/** Names of processes and of the work they pass to each other. */
import {randomBytes} from 'node:crypto';

/** Identifies one life of one process; a restart makes a new incarnation. */
export interface ProcessIdentity {
  /** Name from the settings, the same after a restart. */
  readonly id: string;
  /** Random, different for each life. */
  readonly incarnation: string;
  readonly dataCentre: string;
}

const INCARNATION_BYTES = 9;

/** Draws an incarnation that no other life of any process has. */
export function createIncarnation(): string {
  return randomBytes(INCARNATION_BYTES).toString('base64url');
}

/** Draws the identity of a process that starts now. */
export function createIdentity(
  id: string,
  dataCentre: string,
): ProcessIdentity {
  return {id, incarnation: createIncarnation(), dataCentre};
}

/** Identifies one task: the job's run and the task's place in it. */
export interface TaskIdentity {
  readonly job: string;
  readonly index: number;
}
