/** Identifiers used by every protocol of the fleet. */

/** Name of a client account, as declared. */
export type AccountId = string;

/** Name of a data centre, as given in the settings of its instances. */
export type DataCentreId = string;

/** Name of a service that requests are routed to, as declared. */
export type ServiceName = string;

/** Name of a class of work, as declared. */
export type WorkClassName = string;

/** Identifier of a backend server within its service, from the instance list. */
export type ServerId = string;

/**
 * One life of one router process. A restart gets a new incarnation, and so does a router whose
 * journal entry was sealed, so rights never pass from one life to the next.
 *
 * @example 'dc-a/router-1/018f3c2a9b7e'
 */
export type IncarnationId = string;

/**
 * Identity of a request: the issuing incarnation and a dense sequence number.
 *
 * @example { issuer: 'dc-a/router-1/018f3c2a9b7e', number: 42 }
 */
export interface TicketId {
  issuer: IncarnationId;
  number: number;
}

/** Milliseconds since the epoch, always passed in by the caller. */
export type EpochMs = number;

/** Tokens: the unit of budgets, reservations and bills. */
export type Tokens = number;
