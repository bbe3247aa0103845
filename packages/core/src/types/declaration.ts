/**
 * Types of the objects that operators declare. Operators state targets; the system derives weights
 * and finds instances, so neither appears here.
 */

import type { AccountId, ServiceName, Tokens, WorkClassName } from './ids.js';

/** Which of two errors to avoid where the system must choose. Neither setting permits overspend. */
export type DeploymentPolicy = 'avoid-overspend' | 'avoid-false-refusals';

/** Priority of a class when budget or capacity is short; `first` classes are served longest. */
export type Importance = 'first' | 'standard' | 'background';

/** Kind of backend server behind a service. */
export type ServiceType = 'model' | 'plain';

/** A class of requests with its latency target. */
export interface WorkClassDeclaration {
  kind: 'WorkClass';
  name: WorkClassName;
  service: ServiceName;
  target: {
    /**
     * Time to the first token, in milliseconds at the 95th percentile; for plain services, time to
     * the whole answer.
     */
    firstTokenMs: number;
    /** Time to the whole answer in milliseconds; also the default deadline of a request. */
    completeMs: number;
  };
  /** Fraction of an account's budget that this class may spend, from 0 to 1. @default 1 */
  budgetShare: number;
  /** @default 'standard' */
  importance: Importance;
  /** Whether a request may run more than once. @default true for model services */
  idempotent: boolean;
  /** Maximum number of output tokens of one request. @default 512 */
  maxOutputTokens: Tokens;
}

/** A client account. Its budget is stored in the ledger. */
export interface ClientAccountDeclaration {
  kind: 'ClientAccount';
  name: AccountId;
  /** SHA-256 digests (hex) of the API keys that belong to the account. */
  apiKeyDigests: string[];
  /** Initial budget, written to the ledger once, when the account is first accepted. @default 0 */
  openingTokens: Tokens;
  /** Work class of requests that do not name one. */
  defaultClass?: WorkClassName;
}

/** A service that requests are routed to. */
export interface ServiceDeclaration {
  kind: 'Service';
  name: ServiceName;
  type: ServiceType;
  /** Name of the service in the platform's instance list, where its backend servers are found. */
  discovery: { instanceList: string };
  /** Model names that callers may ask for; model services only. */
  models: string[];
  /** Whether backend servers reject requests with an outdated fencing number. @default false */
  checksFencing: boolean;
  /** Tokens charged per call of a plain service. @default 0 */
  tokensPerCall: Tokens;
  /** Maximum number of concurrent requests at one backend server. @default 8 */
  concurrencyPerServer: number;
}

/** Settings of the whole deployment. */
export interface DeploymentDeclaration {
  kind: 'Deployment';
  name: string;
  policy: DeploymentPolicy;
  /** How long a disconnected data centre should be able to continue serving, in seconds. */
  rideThroughSeconds: number;
}

/** Any declared object. */
export type Declaration =
  WorkClassDeclaration | ClientAccountDeclaration | ServiceDeclaration | DeploymentDeclaration;

export type DeclarationKind = Declaration['kind'];

/** A declared object as stored on the platform; `revision` is a total order over all changes. */
export interface DeclaredObject {
  kind: DeclarationKind;
  name: string;
  revision: number;
  /** Absent for a deletion, which is stored so that a stale read cannot restore the object. */
  declaration?: Declaration;
}
