/** Classifies the status of a response. */

/**
 * Whether a status is one of the 2xx.
 *
 * @example
 * isSuccess(204); // true
 */
export function isSuccess(status: number | undefined): boolean {
  return status !== undefined && status >= 200 && status < 300;
}
