/** Lowest status of an answer that ends a request; lower ones can't be passed on. */
const FIRST_FINAL_STATUS = 200;
/** Highest status that HTTP names; what a higher one means is not known. */
const LAST_STATUS = 599;

/**
 * Whether an answer of a status can be passed on.
 *
 * @example
 * isFinalStatus(503); // true
 * isFinalStatus(99); // false: Node.js throws for it
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}
