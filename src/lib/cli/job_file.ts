/** Parses job files, which contain the body of a submission in JSON or YAML. */
import {parse} from 'yaml';
import {UsageError} from '../core/errors.js';

/** Body of a submission, limited to the fields that the command line reads. */
export interface JobFile {
  readonly team: string;
  readonly tasks: readonly unknown[];
  readonly deadlineMs?: number;
}

/**
 * Parses a job file. The entry validates all other fields.
 *
 * @throws UsageError if the file cannot be parsed or has no team or no tasks.
 */
export function parseJobFile(path: string, text: string): JobFile {
  const body = parseText(path, text) as Partial<JobFile> | null;
  if (typeof body?.team !== 'string' || !Array.isArray(body.tasks)) {
    throw new UsageError(
      `Job file ${path} must have "team" (a string) and "tasks" (a list).`,
    );
  }
  return body as JobFile;
}

function parseText(path: string, text: string): unknown {
  try {
    return parse(text);
  } catch (cause) {
    throw new UsageError(`Job file ${path} is neither JSON nor YAML.`, {cause});
  }
}
