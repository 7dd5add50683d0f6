/** Encodes and decodes the forecasts in the platform's store. */
import type {QueueForecasts} from '../../decisions/forecast_table.js';
import type {WorkForecast} from '../../decisions/work_forecast.js';

/** Schema version of the value; a value of another version is ignored. */
const SCHEMA_VERSION = 1;

/**
 * Maximum number of queues; each uses about 300 bytes of the megabyte that a
 * value in the store may have.
 */
const MAX_QUEUES = 1000;

const MATRIX_LENGTH = 6;
const VECTOR_LENGTH = 3;

/** Significant digits stored of each number. */
const SIGNIFICANT_DIGITS = 9;

/** Encodes forecasts, those learned from the most jobs first. */
export function encodeForecasts(forecasts: QueueForecasts): string {
  const queues = [...forecasts]
    .sort(([, a], [, b]) => b.count - a.count)
    .slice(0, MAX_QUEUES)
    .map(([queue, forecast]) => ({queue, ...forecast}));
  return JSON.stringify({schema: SCHEMA_VERSION, queues}, (_key, value) =>
    typeof value === 'number'
      ? Number(value.toPrecision(SIGNIFICANT_DIGITS))
      : value,
  );
}

/** Decodes forecasts; invalid ones are skipped. */
export function decodeForecasts(text: string): QueueForecasts {
  const forecasts = new Map<string, WorkForecast>();
  const document = parseObject(text);
  if (document.schema !== SCHEMA_VERSION) return forecasts;
  const rows = Array.isArray(document.queues) ? document.queues : [];
  for (const row of rows) {
    if (typeof row !== 'object' || row === null) continue;
    const {queue, ...forecast} = row as Record<string, unknown>;
    if (typeof queue === 'string' && isForecast(forecast)) {
      forecasts.set(queue, forecast);
    }
  }
  return forecasts;
}

function isForecast(
  value: Record<string, unknown>,
): value is Record<string, unknown> & WorkForecast {
  const {count, matrix, vector, logRatio, modelError, estimateError} = value;
  const numbers = [count, logRatio, modelError, estimateError];
  return (
    numbers.every(Number.isFinite) &&
    isRow(matrix, MATRIX_LENGTH) &&
    isRow(vector, VECTOR_LENGTH)
  );
}

function isRow(value: unknown, length: number): boolean {
  return (
    Array.isArray(value) &&
    value.length === length &&
    value.every(Number.isFinite)
  );
}

function parseObject(text: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value === 'object' && value !== null) {
      return value as Record<string, unknown>;
    }
  } catch {
    // Not written by an entry: the value holds no forecast.
  }
  return {};
}
