/** Interface through which the request path asks for an account's part of a crowded service. */

import type { AccountId, Importance, Refusal, ServiceName } from '@flamingocourse/core';

/** A request that asks for room at the servers of a service. */
export interface RoomRequest {
  service: ServiceName;
  /** Undefined for a route that needs no key. */
  account: AccountId | undefined;
  importance: Importance;
  /** Expected milliseconds of a slot that it takes. */
  workMs: number;
  /** Milliseconds that its caller still waits. */
  leftMs: number;
}

/** Divides the room of crowded services among client accounts. */
export abstract class RoomSharing {
  /**
   * Records a request and decides whether it goes on. Returns the refusal if its account has used up
   * its part; undefined if the request may wait for a place.
   */
  abstract admit(request: RoomRequest, now: number): Refusal | undefined;
  /** Records that a request got an answer, and how long it had waited for it beyond its work. */
  abstract recordServed(
    request: RoomRequest,
    waitedMs: number,
    targetMs: number,
    now: number,
  ): void;
  /** Records that a request that went on got no place at a server in time. */
  abstract recordUnplaced(request: RoomRequest, now: number): void;
}
