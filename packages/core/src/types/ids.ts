/** Identifiers and units that all protocols of the fleet use. */

/** Name of a client account, from its declaration. */
export type AccountId = string;

/** Name of a data centre, from the settings of its instances. */
export type DataCentreId = string;

/** Name of a service that requests are routed to, from its declaration. */
export type ServiceName = string;

/** Name of a class of work, from its declaration. */
export type WorkClassName = string;

/** Identifier of a backend server within its service, from the instance list. */
export type ServerId = string;

/**
 * One run of a router process. A restart gets a new incarnation, and so does a router whose journal
 * entry was sealed, so no incarnation can spend the tokens of an earlier one.
 *
 * @example 'dc-a/router-1/018f3c2a9b7e'
 */
export type IncarnationId = string;

/**
 * Identity of a request: the issuing incarnation and a sequence number without gaps.
 *
 * @example { issuer: 'dc-a/router-1/018f3c2a9b7e', number: 42 }
 */
export interface TicketId {
  issuer: IncarnationId;
  number: number;
}

/** Milliseconds since the Unix epoch. Always passed in by the caller. */
export type EpochMs = number;

/** Tokens: the unit of budgets, reservations and bills. */
export type Tokens = number;
