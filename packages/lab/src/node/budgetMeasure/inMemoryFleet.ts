/** In-memory membership and configuration of the budget measurement. */

import type {
  ClientAccountDeclaration,
  DeploymentDeclaration,
  MemberInfo,
} from '@flamingocourse/core';
import type { Peer } from '@flamingocourse/router';
import { pageOf } from '@flamingocourse/core';
import { Configuration, Fleet } from '@flamingocourse/router';

/** Routers of the run, and how they see each other. */
export interface Members {
  all(): MemberInfo[];
  /** Returns the health of one router as another sees it. */
  healthOf(from: MemberInfo, to: MemberInfo): Peer['health'];
}

const HASH_RANGE = 2 ** 31;

/** Membership of one router; reads the state of the run instead of sending heartbeats. */
export class InMemoryFleet extends Fleet {
  readonly #members: Members;
  #self: MemberInfo;

  constructor(members: Members, self: MemberInfo) {
    super();
    this.#members = members;
    this.#self = self;
  }

  override start(): void {
    // nothing runs
  }
  override stop(): void {
    // nothing runs
  }
  override get self(): MemberInfo {
    return this.#self;
  }
  override renewIncarnation(): string {
    const [dataCentre, instance, startNumber] = this.#self.incarnation.split('/');
    const incarnation = `${dataCentre}/${instance}/${Number(startNumber) + 1}`;
    this.#self = { ...this.#self, incarnation };
    return incarnation;
  }
  override setState(): void {
    // not observed
  }
  override setRevision(): void {
    // not observed
  }
  override peers(): Peer[] {
    return this.#members
      .all()
      .filter((info) => info.instance !== this.#self.instance)
      .map((info) => ({ info, health: this.#members.healthOf(this.#self, info) }));
  }
  override localPeers(): Peer[] {
    const { dataCentre } = this.#self;
    return this.peers().filter(
      ({ info, health }) => info.dataCentre === dataCentre && health === 'alive',
    );
  }
  override find(incarnation: string): Peer | undefined {
    return this.peers().find((peer) => peer.info.incarnation === incarnation);
  }
  override localOwner(key: string): MemberInfo {
    const hash = (info: MemberInfo): number => pageOf(`${info.instance}|${key}`, HASH_RANGE);
    let owner = this.#self;
    for (const { info } of this.localPeers()) if (hash(info) > hash(owner)) owner = info;
    return owner;
  }
  override onHealthChange(): () => void {
    return () => undefined;
  }
}

/** Fixed configuration of the run: accounts and deployment. */
export class InMemoryConfiguration extends Configuration {
  override readonly revision = 1;
  override readonly deployment: DeploymentDeclaration;
  readonly #accounts: ClientAccountDeclaration[];

  constructor(budgets: ReadonlyMap<string, number>, deployment: DeploymentDeclaration) {
    super();
    this.deployment = deployment;
    this.#accounts = [...budgets].map(([name, openingTokens]) => ({
      kind: 'ClientAccount',
      name,
      apiKeyDigests: [],
      openingTokens,
    }));
  }

  override start(): void {
    // nothing runs
  }
  override stop(): void {
    // nothing runs
  }
  override account(name: string): ClientAccountDeclaration | undefined {
    return this.#accounts.find((account) => account.name === name);
  }
  override accounts(): ClientAccountDeclaration[] {
    return this.#accounts;
  }
  override accountByKeyDigest(): undefined {
    return undefined;
  }
  override workClass(): undefined {
    return undefined;
  }
  override workClasses(): [] {
    return [];
  }
  override service(): undefined {
    return undefined;
  }
  override services(): [] {
    return [];
  }
  override serviceByModel(): undefined {
    return undefined;
  }
  override onChange(): () => void {
    return () => undefined;
  }
}
