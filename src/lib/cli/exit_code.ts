/**
 * Exit codes of the command line, and the choice of one for several results.
 */

/** Exit codes of `foxtailbay`. */
export enum ExitCode {
  /** The command succeeded completely. */
  OK = 0,
  /** The job ran and failed, or a check found an error. */
  FAILED = 1,
  /** Invalid command line; nothing was sent. */
  USAGE = 2,
  /** Refused: nothing ran and nothing was changed. */
  REFUSED = 3,
  /** Something may or may not have run or been changed. */
  UNKNOWN = 4,
  /** No connection: nothing was sent. */
  UNREACHABLE = 5,
}

/** Exit codes by severity, the least severe first. */
const EXIT_CODES_BY_SEVERITY: readonly ExitCode[] = [
  ExitCode.OK,
  ExitCode.REFUSED,
  ExitCode.USAGE,
  ExitCode.UNREACHABLE,
  ExitCode.FAILED,
  ExitCode.UNKNOWN,
];

/** Chooses the exit code for several results: the most severe one. */
export function chooseExitCode(codes: readonly ExitCode[]): ExitCode {
  const ranks = codes.map(code => EXIT_CODES_BY_SEVERITY.indexOf(code));
  return EXIT_CODES_BY_SEVERITY[Math.max(0, ...ranks)];
}
