/** Parser of YAML and JSON documents. */
import {createRequire} from 'node:module';

const loadModule = createRequire(import.meta.url);

/**
 * Parses a YAML document. JSON, a subset of YAML, is parsed without loading the
 * YAML library, so that a process with JSON files starts faster.
 */
export function parseDocument(text: string): unknown {
  if (text.startsWith('{')) {
    try {
      return JSON.parse(text);
    } catch {
      // Not JSON: a YAML flow mapping, or an error that the YAML parser explains.
    }
  }
  const {parse} = loadModule('yaml') as typeof import('yaml');
  return parse(text);
}
