/** Reads what scenarios need from the entries' `/v1/status`. */
import type {RevisionSample} from './evidence.js';

/** Members of the status that scenarios look at. */
interface StatusBody {
  readonly processes?: ReadonlyArray<{
    id: string;
    incarnation: string;
    revision: number;
  }>;
  readonly targets?: ReadonlyArray<{name: string; isPresent?: boolean}>;
}

/** Lists the targets that the entry could send tasks to. */
export function listTargetsPresent(status: unknown): string[] {
  const targets = (status as StatusBody).targets ?? [];
  return targets
    .filter(target => target.isPresent !== false)
    .map(target => target.name);
}

/** Reads the revision that each process has in force, as one entry tells it. */
export function readRevisionSamples(
  entry: string,
  status: unknown,
  atMs: number,
): RevisionSample[] {
  const processes = (status as StatusBody).processes ?? [];
  return processes.map(({id, incarnation, revision}) => ({
    process: `${id} seen by ${entry}`,
    incarnation,
    revision,
    atMs,
  }));
}
