/** Checks that the events of one response are in order, whichever servers delivered them. */

/** Id of an event, and version of the weights that made it, if they are numbers. */
const ID = /^id:[ ]?(\d{1,15})\r?$/m;
const WEIGHTS = /^x-weight-versions:[ ]?(\d{1,15})\r?$/m;

/**
 * Order of the events that one caller gets: ids increase, and versions of weights do not decrease.
 *
 * @example
 * const order = new EventOrder();
 * order.accepts('id: 2\ndata: x\n\n'); // true
 * order.accepts('id: 2\ndata: x\n\n'); // false
 */
export class EventOrder {
  #lastId = -Infinity;
  #lastWeights = -Infinity;

  /** Whether an event may follow those that were accepted before. */
  accepts(event: string): boolean {
    const id = numberIn(event, ID);
    const weights = numberIn(event, WEIGHTS);
    if (id !== undefined && id <= this.#lastId) return false;
    if (weights !== undefined && weights < this.#lastWeights) return false;
    this.#lastId = id ?? this.#lastId;
    this.#lastWeights = weights ?? this.#lastWeights;
    return true;
  }
}

function numberIn(event: string, pattern: RegExp): number | undefined {
  const text = pattern.exec(event)?.[1];
  return text === undefined ? undefined : Number(text);
}
