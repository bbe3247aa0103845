/** What the router's services ask of the fleet's membership. */

import type { IncarnationId, MemberInfo, PeerHealth } from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';

/** A peer with this router's judgement of it. */
export interface Peer {
  info: MemberInfo;
  health: PeerHealth;
}

/** Routers of the fleet that this router knows. Registered as `fleet`. */
export abstract class Fleet extends Service {
  override readonly name = 'fleet';

  /** This router as its peers see it. */
  abstract get self(): MemberInfo;
  /** Gives this process a new incarnation after its old one was sealed. */
  abstract renewIncarnation(): IncarnationId;
  abstract setState(state: MemberInfo['state']): void;
  abstract setRevision(revision: number): void;
  abstract peers(): Peer[];
  /** Peers of this router's own data centre that answer. */
  abstract localPeers(): Peer[];
  abstract find(incarnation: IncarnationId): Peer | undefined;
  /** Member (self included) of the own data centre that a key maps to, by rendezvous hashing. */
  abstract localOwner(key: string): MemberInfo;
  /** Calls back when a peer's health changes; returns a function that ends it. */
  abstract onHealthChange(listener: (peer: Peer) => void): () => void;
}
