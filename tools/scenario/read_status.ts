/** Extracts targets and revisions from the `/v1/status` answer of an entry. */
import type {StatusReport} from './status_report.js';
import type {RevisionSample} from './evidence.js';

const PRESENT = 'present';

/** Lists the targets to which the entry can currently send tasks. */
export function listTargetsPresent(report: StatusReport): string[] {
  return report.targets
    .filter(target => target.condition === PRESENT && target.isPermitted)
    .map(target => target.name);
}

/** Reads the revision in force in each process, as reported by one entry. */
export function readRevisionSamples(
  report: StatusReport,
  atMs: number,
): RevisionSample[] {
  const reporter = report.processes.find(({id}) => id === report.entry);
  return report.processes
    .filter(({configurationRevision}) => configurationRevision > 0)
    .map(({id, incarnation, configurationRevision}) => ({
      process: `${id} seen by ${report.entry}/${reporter?.incarnation}`,
      incarnation,
      revision: configurationRevision,
      atMs,
    }));
}
