/** Reads what scenarios need from the entries' `/v1/status`. */
import type {StatusReport} from './status_report.js';
import type {RevisionSample} from './evidence.js';

const PRESENT = 'present';

/** Lists the targets to which the entry could send tasks now. */
export function listTargetsPresent(report: StatusReport): string[] {
  return report.targets
    .filter(target => target.condition === PRESENT && target.isPermitted)
    .map(target => target.name);
}

/** Reads the revision that each process has in force, as one entry tells it. */
export function readRevisionSamples(
  report: StatusReport,
  atMs: number,
): RevisionSample[] {
  const teller = report.processes.find(({id}) => id === report.entry);
  return report.processes
    .filter(({configurationRevision}) => configurationRevision > 0)
    .map(({id, incarnation, configurationRevision}) => ({
      process: `${id} seen by ${report.entry}/${teller?.incarnation}`,
      incarnation,
      revision: configurationRevision,
      atMs,
    }));
}
