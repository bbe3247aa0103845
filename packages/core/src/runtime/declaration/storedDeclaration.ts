/**
 * How declared objects are kept on the platform, and the record of the change that wrote them.
 *
 * The record stands inside the object, so it takes effect in the same conditional update as the
 * change itself. The audit object is created after that, from the record. A crash between the two
 * loses nothing: whoever next changes or reads the history of the object finds the record and
 * creates the missing audit, and no change replaces a record whose audit does not exist yet.
 */

import type { Declaration, DeclaredObject } from '../../types/declaration.js';
import type { GuardName } from './guards.js';
import { declarationKinds, declarationSchema } from './declarationSchema.js';
import { Result } from 'true-myth';
import { completeDeclaration } from './declarationSchema.js';
import { guardNames } from './guards.js';
import { z } from 'zod';

/** Collection of the declared objects, named `Kind.name`. */
export const declarationCollection = 'declarations';
/** Collection of the audit objects, named by their change id. */
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
  /** Guard rails that were acknowledged. */
  guards: GuardName[];
}

export type ChangeType = 'create' | 'update' | 'delete';

/** What became of a change. */
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

/** Builds the value to store. A removal keeps the name, so that no stale read revives the object. */
export function createStored(
  key: { kind: Declaration['kind']; name: string },
  declaration: Declaration | undefined,
  change: ChangeRecord,
): StoredDeclaration {
  if (declaration) return { ...declaration, change };
  return { kind: key.kind, name: key.name, removed: true, change };
}

/**
 * Reads a stored object. Faulty content is an error of this object alone; the reader keeps what it
 * had in force of it.
 *
 * @example
 * const object = readStored(stored.value, Number(stored.version));
 */
export function readStored(
  value: unknown,
  revision: number,
): Result<DeclaredObjectWithChange, string> {
  const head = headSchema.safeParse(value);
  if (!head.success) return Result.err(`no declared object: ${z.prettifyError(head.error)}`);
  const { change, removed, ...body } = head.data;
  const base = { kind: body.kind, name: body.name, revision, ...(change && { change }) };
  if (removed) return Result.ok(base);
  const written = declarationSchema.safeParse(body);
  if (!written.success) return Result.err(z.prettifyError(written.error));
  // stored classes always say whether they are idempotent; false is the answer that does no harm
  return Result.ok({ ...base, declaration: completeDeclaration(written.data, () => true) });
}

/** A declared object without its revision, which the platform gives as the version. */
export type DeclaredBody = Omit<DeclaredObject, 'revision'>;

/**
 * Schema for readers of the collection: takes the change record off and reads a removed object as
 * one without declaration, so that a removal comes into force like any other change.
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
