/** Writes what was sent, answered and run to `record.txt`, with the time since the start. */
import {writeFileSync, appendFileSync} from 'node:fs';

/** Creates a record file; returns the function that adds a line to it. */
export function createRecord(path) {
  const startedAt = performance.now();
  writeFileSync(path, '');
  const record = text => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
    appendFileSync(path, `${seconds.padStart(8)} s  ${text}\n`);
  };
  record.nowMs = () => performance.now() - startedAt;
  return record;
}
