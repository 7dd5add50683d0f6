/** Exit codes of the command line. */

/** What the exit code of `foxtailbay` says. */
export enum ExitCode {
  /** Everything asked for was done. */
  OK = 0,
  /** The job ran and failed, or a check found a mistake. */
  FAILED = 1,
  /** The command was written wrongly; nothing was sent. */
  USAGE = 2,
  /** Refused: nothing ran and nothing was changed. */
  REFUSED = 3,
  /** Something may or may not have run or been changed. */
  UNKNOWN = 4,
  /** No connection: nothing was sent. */
  UNREACHABLE = 5,
}

/** Orders exit codes by how much attention they need, the least first. */
const BY_ATTENTION: readonly ExitCode[] = [
  ExitCode.OK,
  ExitCode.REFUSED,
  ExitCode.USAGE,
  ExitCode.UNREACHABLE,
  ExitCode.FAILED,
  ExitCode.UNKNOWN,
];

/** Chooses the exit code for several results: the one that needs most attention. */
export function chooseExitCode(codes: readonly ExitCode[]): ExitCode {
  const ranks = codes.map(code => BY_ATTENTION.indexOf(code));
  return BY_ATTENTION[Math.max(0, ...ranks)];
}
