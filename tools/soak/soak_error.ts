/** Error type of the soak. */
import {ErrorCode, FoxtailbayError} from '../../src/lib/core/errors.js';

/** Thrown if the soak cannot run: programs or addresses are missing. */
export const SoakError = FoxtailbayError.subclass('SoakError', {
  props: {code: ErrorCode.REQUEST_FAILED},
});
