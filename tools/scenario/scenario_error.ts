/** The failures that the scenario tools report. */
import {FoxtailbayError, ErrorCode} from '../../src/lib/core/errors.js';

/** Tells that a scenario cannot go on: a step is wrong or a bound has passed. */
export const ScenarioError = FoxtailbayError.subclass('ScenarioError', {
  props: {code: ErrorCode.REQUEST_FAILED},
});
