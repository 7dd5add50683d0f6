/** The types of failure that the programs of foxtailbay report. */
import ModernError from 'modern-errors';

/** Identifies a failure to people and programs. Listed in docs/ERRORS.md. */
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

/** Is the parent of every error that foxtailbay throws. */
export const FoxtailbayError = ModernError.subclass('FoxtailbayError', {
  props: {code: ErrorCode.INTERNAL},
});

/** Tells that a settings file cannot be used. */
export const SettingsError = FoxtailbayError.subclass('SettingsError', {
  props: {code: ErrorCode.SETTINGS_INVALID},
});

/** Tells that a state chart file is wrong or was sent an event it cannot take. */
export const ChartError = FoxtailbayError.subclass('ChartError', {
  props: {code: ErrorCode.CHART_INVALID},
});

/** Tells that the platform's store refused or did not answer. */
export const StoreError = FoxtailbayError.subclass('StoreError', {
  props: {code: ErrorCode.STORE_UNAVAILABLE},
});

/** Tells that a configuration record does not fit its schema. */
export const RecordError = FoxtailbayError.subclass('RecordError', {
  props: {code: ErrorCode.RECORD_INVALID},
});

/** Tells that an idempotency key cannot be read or was not minted here. */
export const KeyError = FoxtailbayError.subclass('KeyError', {
  props: {code: ErrorCode.KEY_INVALID},
});

/** Tells that disposing a store's contents failed. */
export const DisposeError = FoxtailbayError.subclass('DisposeError', {
  props: {code: ErrorCode.DISPOSE_FAILED},
});

/** Tells that a process cannot listen on the address in its settings. */
export const AddressError = FoxtailbayError.subclass('AddressError', {
  props: {code: ErrorCode.ADDRESS_IN_USE},
});

/** Tells that the command line was called wrongly. */
export const UsageError = FoxtailbayError.subclass('UsageError', {
  props: {code: ErrorCode.USAGE},
});

/** Tells that a request to another process was refused or got no answer. */
export const RequestError = FoxtailbayError.subclass('RequestError', {
  props: {code: ErrorCode.REQUEST_FAILED},
});
