/** Error type of the scenario tools. */
import {FoxtailbayError, ErrorCode} from '../../src/lib/core/errors.js';

/** Thrown when a scenario cannot continue: a step is invalid or has timed out. */
export const ScenarioError = FoxtailbayError.subclass('ScenarioError', {
  props: {code: ErrorCode.REQUEST_FAILED},
});
