/** Interface through which the request path reads the configuration in force. */

import type {
  ClientAccountDeclaration,
  DeploymentDeclaration,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '@flamingocourse/core';
import { Service } from '@flamingocourse/kernel';

/** Declarations in force at this router. The service is registered as `configuration`. */
export abstract class Configuration extends Service {
  override readonly name = 'configuration';

  /** Highest revision in force; never decreases. */
  abstract get revision(): number;
  abstract get deployment(): DeploymentDeclaration;
  /** Finds the account that an API key belongs to. */
  abstract accountByKeyDigest(digest: string): ClientAccountDeclaration | undefined;
  abstract account(name: string): ClientAccountDeclaration | undefined;
  abstract accounts(): ClientAccountDeclaration[];
  abstract workClass(name: string): WorkClassDeclaration | undefined;
  abstract workClasses(): WorkClassDeclaration[];
  abstract service(name: string): ServiceDeclaration | undefined;
  abstract services(): ServiceDeclaration[];
  /** Finds the model service that serves a model name. */
  abstract serviceByModel(model: string): ServiceDeclaration | undefined;
  /** Calls the listener after each change; returns a function that removes the listener. */
  abstract onChange(listener: () => void): () => void;
}
