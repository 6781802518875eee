import {Result} from 'true-myth';
import type {ZodType} from 'zod';

/**
 * Checks a value against a format.
 *
 * @returns the value, or the first field that does not match and why
 */
export function decode<T>(
  format: ZodType<T>,
  value: unknown,
): Result<T, string> {
  const checked = format.safeParse(value);
  if (checked.success) return Result.ok(checked.data);
  const [{path, message}] = checked.error.issues;
  const place = path.map(String).join('.');
  return Result.err(place === '' ? message : `${place}: ${message}`);
}

/**
 * Parses JSON text and checks it against a format.
 *
 * @returns the value, or why it can't be read
 */
export function decodeText<T>(
  format: ZodType<T>,
  text: string,
): Result<T, string> {
  try {
    return decode(format, JSON.parse(text));
  } catch (error) {
    return Result.err((error as Error).message);
  }
}
