/** Checks that the events of one response are in order, whichever servers delivered them. */

/** Id of an event, if it is a number. */
const ID = /^id:[ ]?(\d{1,15})\r?$/m;
const NUMBER = /^\d{1,15}$/;

/** What the events of a response are compared with. */
export interface EventOrderOptions {
  /** Name of the field in which an event names the version of the weights that made it; lower case. */
  weightsField: string;
  /** Id of the last event that the caller has of its stream; undefined if it has none. */
  after?: string | undefined;
}

/**
 * Order of the events that one caller gets: ids increase, and versions of weights do not decrease. Values
 * that are no numbers are not compared.
 *
 * @example
 * const order = new EventOrder({ weightsField: 'weights', after: '1' });
 * order.accepts('id: 2\ndata: x\n\n'); // true
 * order.accepts('id: 2\ndata: x\n\n'); // false
 */
export class EventOrder {
  readonly #weights: RegExp;
  #lastId: number;
  #lastWeights = -Infinity;

  constructor({ weightsField, after = '' }: EventOrderOptions) {
    this.#weights = new RegExp(`^${weightsField}:[ ]?(\\d{1,15})\\r?$`, 'm');
    this.#lastId = NUMBER.test(after) ? Number(after) : -Infinity;
  }

  /** Whether an event may follow those that were accepted before. */
  accepts(event: string): boolean {
    const id = numberIn(event, ID);
    const weights = numberIn(event, this.#weights);
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
