/** Reads texts written in YAML. */
import {createRequire} from 'node:module';

const loadModule = createRequire(import.meta.url);

/**
 * Parses a YAML document. JSON is YAML too, and parsed without loading the YAML
 * library: a process that starts with prepared files serves sooner.
 */
export function parseDocument(text: string): unknown {
  if (text.startsWith('{')) {
    try {
      return JSON.parse(text);
    } catch {
      // Not JSON: a YAML flow mapping, or a mistake that YAML words better.
    }
  }
  const {parse} = loadModule('yaml') as typeof import('yaml');
  return parse(text);
}
