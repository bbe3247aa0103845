/**
 * Stored form of declared objects on the platform, with the record of the change that wrote them.
 *
 * The record is part of the object, so one conditional update writes both the change and its
 * record. The audit object is created afterwards, from the record. A crash between the two writes
 * loses nothing: the next process that changes the object or reads its history finds the record and
 * creates the missing audit object. No change replaces a record whose audit object does not exist.
 */

import type { Declaration, DeclaredObject } from '../../types/declaration.js';
import type { GuardName } from './guards.js';
import { declarationKinds, declarationSchema } from './declarationSchema.js';
import { Result } from 'true-myth';
import { completeDeclaration } from './declarationSchema.js';
import { guardNames } from './guards.js';
import { z } from 'zod';

/** Collection of the declared objects. Their names have the form `Kind.name`. */
export const declarationCollection = 'declarations';
/** Collection of the audit objects. Their names are the change ids. */
export const auditCollection = 'audits';

/** The change that wrote a declared object. */
export interface ChangeRecord {
  changeId: string;
  /** Who made the change. */
  who: string;
  what: ChangeType;
  /** Revision that the change replaced; 0 for a new object. */
  fromRevision: number;
  /** Milliseconds since the epoch. */
  at: number;
  /** Acknowledged guard rails. */
  guards: GuardName[];
}

export type ChangeType = 'create' | 'update' | 'delete';

/** Result of a change. */
export type AuditVerdict = 'accepted' | 'refused-guard' | 'refused-conflict';

/** Value of the create-only platform object `audits/{changeId}`. */
export interface AuditRecord extends ChangeRecord {
  /** `Kind.name` of the object. */
  object: string;
  /** Revision in force after an accepted change; absent for a refused one. */
  toRevision?: number;
  verdict: AuditVerdict;
  /** Why a change was refused. */
  reason?: string;
}

/** Value of the platform object `declarations/{Kind.name}`: the declaration and its change. */
export type StoredDeclaration =
  | (Declaration & { change: ChangeRecord })
  | { kind: Declaration['kind']; name: string; removed: true; change: ChangeRecord };

/** A declared object with the record of its last change. */
export interface DeclaredObjectWithChange extends DeclaredObject {
  change?: ChangeRecord;
}

/** Schema of a change record as read back from the platform. */
export const changeRecordSchema = z.object({
  changeId: z.string(),
  who: z.string(),
  what: z.enum(['create', 'update', 'delete']),
  fromRevision: z.number(),
  at: z.number(),
  guards: z.array(z.enum(guardNames)),
});

const headSchema = z.looseObject({
  kind: z.enum(declarationKinds),
  name: z.string(),
  removed: z.literal(true).optional(),
  change: changeRecordSchema.optional(),
});

/**
 * Builds the value to store. A removed object is stored with its name and `removed: true`, so that
 * a stale read cannot restore it.
 */
export function createStored(
  key: { kind: Declaration['kind']; name: string },
  declaration: Declaration | undefined,
  change: ChangeRecord,
): StoredDeclaration {
  if (declaration) return { ...declaration, change };
  return { kind: key.kind, name: key.name, removed: true, change };
}

/**
 * Parses a stored object. Returns an error if its content is invalid; the caller then keeps the
 * version that it had in force.
 *
 * @example
 * const object = readStored(stored.value, Number(stored.version));
 */
export function readStored(
  value: unknown,
  revision: number,
): Result<DeclaredObjectWithChange, string> {
  const head = headSchema.safeParse(value);
  if (!head.success) return Result.err(`not a declared object: ${z.prettifyError(head.error)}`);
  const { change, removed, ...body } = head.data;
  const base = { kind: body.kind, name: body.name, revision, ...(change && { change }) };
  if (removed) return Result.ok(base);
  const parsed = declarationSchema.safeParse(body);
  if (!parsed.success) return Result.err(z.prettifyError(parsed.error));
  // stored classes always contain `idempotent`; a missing one is read as false, the safe value
  return Result.ok({ ...base, declaration: completeDeclaration(parsed.data, () => true) });
}

/** A declared object without its revision, which is the version of the platform object. */
export type DeclaredBody = Omit<DeclaredObject, 'revision'>;

/**
 * Schema for readers of the collection. It drops the change record and parses a removed object as
 * one without a declaration, so that a removal takes effect like any other change.
 *
 * @example
 * const collection = { name: 'declarations', schema: declaredBodySchema };
 */
export const declaredBodySchema: z.ZodType<DeclaredBody> = z
  .unknown()
  .transform((value, context): DeclaredBody => {
    const read = readStored(value, 0);
    if (read.isErr) {
      context.addIssue({ code: 'custom', message: read.error });
      return z.NEVER;
    }
    const { kind, name, declaration } = read.value;
    return { kind, name, ...(declaration && { declaration }) };
  });
