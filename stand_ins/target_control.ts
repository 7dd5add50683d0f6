/** Decoding of `POST /control` at the target stand-in. */
import {parseObject} from './http_listener.js';
import {TargetMode} from './target_work.js';

/** Request to change the mode. */
export interface TargetControl {
  readonly mode: TargetMode;
  /** Multiplies run times in `TargetMode.SLOW`. */
  readonly factor?: number;
}

/** Decodes a control request; returns undefined if it is invalid. */
export function decodeTargetControl(body: string): TargetControl | undefined {
  const {mode, factor} = parseObject(body) ?? {};
  const known = Object.values(TargetMode).find(name => name === mode);
  if (known === undefined) return undefined;
  if (factor === undefined) return {mode: known};
  if (typeof factor !== 'number' || !(factor > 0)) return undefined;
  return {mode: known, factor};
}
