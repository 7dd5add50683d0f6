/** Error types of the foxtailbay programs. */
import ModernError from 'modern-errors';

/** Stable codes of the errors, listed in docs/ERRORS.md. */
export enum ErrorCode {
  SETTINGS_INVALID = 'settings-invalid',
  SETTINGS_UNREADABLE = 'settings-unreadable',
  CHART_INVALID = 'chart-invalid',
  CHART_EVENT_UNHANDLED = 'chart-event-unhandled',
  MAILBOX_FULL = 'mailbox-full',
  ADDRESS_IN_USE = 'address-in-use',
  STORE_UNAVAILABLE = 'store-unavailable',
  STORE_CONFLICT = 'store-conflict',
  STORE_OUTCOME_UNKNOWN = 'store-outcome-unknown',
  STORE_PROTOCOL = 'store-protocol',
  RECORD_INVALID = 'record-invalid',
  KEY_INVALID = 'key-invalid',
  DISPOSE_FAILED = 'dispose-failed',
  USAGE = 'usage',
  REQUEST_FAILED = 'request-failed',
  INTERNAL = 'internal',
}

/** Base class of every error that foxtailbay throws. */
export const FoxtailbayError = ModernError.subclass('FoxtailbayError', {
  props: {code: ErrorCode.INTERNAL},
});

/** Thrown if a settings file is invalid or cannot be read. */
export const SettingsError = FoxtailbayError.subclass('SettingsError', {
  props: {code: ErrorCode.SETTINGS_INVALID},
});

/** Thrown if a state chart file is invalid or does not handle an event. */
export const ChartError = FoxtailbayError.subclass('ChartError', {
  props: {code: ErrorCode.CHART_INVALID},
});

/** Thrown if the platform's store refused a call or did not answer it. */
export const StoreError = FoxtailbayError.subclass('StoreError', {
  props: {code: ErrorCode.STORE_UNAVAILABLE},
});

/** Thrown if a configuration record does not match its schema. */
export const RecordError = FoxtailbayError.subclass('RecordError', {
  props: {code: ErrorCode.RECORD_INVALID},
});

/** Thrown if an idempotency key is malformed or was not issued by this service. */
export const KeyError = FoxtailbayError.subclass('KeyError', {
  props: {code: ErrorCode.KEY_INVALID},
});

/** Thrown if resources could not be released; contains the causes. */
export const DisposeError = FoxtailbayError.subclass('DisposeError', {
  props: {code: ErrorCode.DISPOSE_FAILED},
});

/** Thrown if a process cannot listen on the address in its settings. */
export const AddressError = FoxtailbayError.subclass('AddressError', {
  props: {code: ErrorCode.ADDRESS_IN_USE},
});

/** Thrown if the arguments of a command line are invalid. */
export const UsageError = FoxtailbayError.subclass('UsageError', {
  props: {code: ErrorCode.USAGE},
});

/** Thrown if a request to another process was refused or not answered. */
export const RequestError = FoxtailbayError.subclass('RequestError', {
  props: {code: ErrorCode.REQUEST_FAILED},
});
