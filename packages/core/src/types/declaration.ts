/** What operators declare. They state targets; weights and instance names never appear. */

import type { AccountId, ServiceName, Tokens, WorkClassName } from './ids.js';

/** Which error weighs more when the two conflict. Neither setting permits overspend. */
export type DeploymentPolicy = 'avoid-overspend' | 'avoid-false-refusals';

/** Which class keeps being served when budget or capacity is short. */
export type Importance = 'first' | 'standard' | 'background';

/** Kind of backend server behind a service. */
export type ServiceType = 'model' | 'plain';

/** A class of work with its target. */
export interface WorkClassDeclaration {
  kind: 'WorkClass';
  name: WorkClassName;
  service: ServiceName;
  target: {
    /** First token, or for plain services the whole answer, in milliseconds for 95 in 100. */
    firstTokenMs: number;
    /** Whole answer in milliseconds; the default deadline of a request. */
    completeMs: number;
  };
  /** Part of an account's budget that this class may draw, from 0 to 1. @default 1 */
  budgetShare: number;
  /** @default 'standard' */
  importance: Importance;
  /** Whether a request may run more than once. @default true for model services */
  idempotent: boolean;
  /** Most output tokens of one request. @default 512 */
  maxOutputTokens: Tokens;
}

/** A client account. Its budget lives in the ledger. */
export interface ClientAccountDeclaration {
  kind: 'ClientAccount';
  name: AccountId;
  /** SHA-256 digests (hex) of the API keys that belong to the account. */
  apiKeyDigests: string[];
  /** Budget written to the ledger once, when the account is first accepted. @default 0 */
  openingTokens: Tokens;
  /** Work class for requests that name none. */
  defaultClass?: WorkClassName;
}

/** A service that requests are routed to. */
export interface ServiceDeclaration {
  kind: 'Service';
  name: ServiceName;
  type: ServiceType;
  /** Name under which the platform's instance list carries its backend servers. */
  discovery: { instanceList: string };
  /** Model names that callers may ask for; model services only. */
  models: string[];
  /** Whether backend servers refuse orders with an old fencing number. @default false */
  checksFencing: boolean;
  /** Tokens charged per call of a plain service. @default 0 */
  tokensPerCall: Tokens;
  /** Requests that one backend server takes at once. @default 8 */
  concurrencyPerServer: number;
}

/** Settings of the whole deployment. */
export interface DeploymentDeclaration {
  kind: 'Deployment';
  name: string;
  policy: DeploymentPolicy;
  /** How long a data centre that is cut off should be able to go on serving, in seconds. */
  rideThroughSeconds: number;
}

/** Any declared object. */
export type Declaration =
  WorkClassDeclaration | ClientAccountDeclaration | ServiceDeclaration | DeploymentDeclaration;

export type DeclarationKind = Declaration['kind'];

/** A declared object as accepted by the platform; `revision` totally orders all changes. */
export interface DeclaredObject {
  kind: DeclarationKind;
  name: string;
  revision: number;
  /** Absent for a deletion, which is kept so that a stale read cannot bring the object back. */
  declaration?: Declaration;
}
