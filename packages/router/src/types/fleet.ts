/** Interface through which the router's services read the fleet's membership. */

import type { IncarnationId, MemberInfo, PeerHealth } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';

/** A peer and its health as this router sees it. */
export interface Peer {
  info: MemberInfo;
  health: PeerHealth;
}

/** Routers of the fleet that this router knows. The service is registered as `fleet`. */
export abstract class Fleet extends Service {
  override readonly name = 'fleet';

  /** This router as its peers see it. */
  abstract get self(): MemberInfo;
  /** Gives this process a new incarnation after its old one was sealed. */
  abstract renewIncarnation(): IncarnationId;
  abstract setState(state: MemberInfo['state']): void;
  abstract setRevision(revision: number): void;
  abstract peers(): Peer[];
  /** Peers in this router's data centre that are alive. */
  abstract localPeers(): Peer[];
  abstract find(incarnation: IncarnationId): Peer | undefined;
  /** Member of this router's data centre, self included, to which rendezvous hashing maps a key. */
  abstract localOwner(key: string): MemberInfo;
  /** Calls the listener when a peer's health changes; returns a function that removes it. */
  abstract onHealthChange(listener: (peer: Peer) => void): () => void;
}
