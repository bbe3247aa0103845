/** Wire format of the Object API; see docs/design/protocols.md. */

import type { ZodType } from 'zod';
import type { CallKind, Collection, VersionedObject } from '../types/objects.js';
import type { WireObject } from '../runtime/storeDialect.js';
import type { HttpAnswer, TransportFault } from '@flamingocourse/kernel';
import { parseJsonText } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { z } from 'zod';
import { PlatformError } from '../utils/platformError.js';

export const wireObjectSchema = z.object({
  metadata: z.object({ name: z.string(), resourceVersion: z.string().regex(/^\d+$/) }),
  value: z.unknown().optional(),
});

/** Converts an object of the Object API into the form that all dialects share. */
export function toWireObject({ metadata, value }: z.infer<typeof wireObjectSchema>): WireObject {
  return { name: metadata.name, version: metadata.resourceVersion, value };
}

export const wireListSchema = z.object({
  metadata: z.object({ resourceVersion: z.string().regex(/^\d+$/) }),
  items: z.array(wireObjectSchema),
});

export const wireWatchLineSchema = z.object({
  type: z.enum(['ADDED', 'MODIFIED', 'DELETED', 'BOOKMARK']),
  object: z.object({
    metadata: z.object({ name: z.string().optional(), resourceVersion: z.string() }),
    // a bookmark has neither a name nor a value.
    value: z.unknown().optional(),
  }),
});

export const wireInstanceSchema = z.object({
  service: z.string(),
  id: z.string(),
  dataCentre: z.string(),
  url: z.url({ protocol: /^http$/ }),
  state: z.enum(['live', 'leaving']),
});

export const wireInstanceListSchema = z.object({ items: z.array(z.unknown()) });

const writeKinds: readonly CallKind[] = ['create', 'update', 'remove'];

/** Parses JSON text of bounded depth and validates it with a schema. Error: `invalid`. */
export function parseJson<T>(text: string, schema: ZodType<T>): Result<T, PlatformError> {
  try {
    const parsed = schema.safeParse(parseJsonText(text));
    if (parsed.success) return Result.ok(parsed.data);
    return Result.err(
      new PlatformError('invalid', 'the answer does not match the schema', { cause: parsed.error }),
    );
  } catch (err) {
    return Result.err(new PlatformError('invalid', 'the answer is not JSON', { cause: err }));
  }
}

/** Validates an object's name and value by the rules of its collection. Error: `invalid`. */
export function checkObject<T>(
  collection: Collection<T>,
  wire: WireObject,
): Result<VersionedObject<T>, PlatformError> {
  const { name, version } = wire;
  if (collection.isName?.(name) === false) {
    return Result.err(new PlatformError('invalid', `${collection.name} has an unusable name`));
  }
  const parsed = collection.schema.safeParse(wire.value);
  if (parsed.success) return Result.ok({ name, version, value: parsed.data });
  return Result.err(
    new PlatformError(
      'invalid',
      `${collection.name}/${name} has a value that does not match the schema`,
      {
        cause: parsed.error,
      },
    ),
  );
}

/** Converts a missing answer into an error. A write may have taken effect nevertheless. */
export function faultToError(kind: CallKind, fault: TransportFault): PlatformError {
  const effect = writeKinds.includes(kind) ? 'unknown' : 'none';
  const { reason, cause } = fault;
  if (reason === 'too-large') {
    return new PlatformError('too-large', `the answer to ${kind} is too large`, { effect });
  }
  if (reason === 'unsendable') {
    return new PlatformError('invalid', `no request carries this ${kind}`, {
      cause,
      effect: 'none',
    });
  }
  return new PlatformError('unreachable', `no answer to ${kind}: ${reason}`, { cause, effect });
}

/**
 * Error of a call whose connection delivered the response to an earlier call. What the store did with
 * this one is not known.
 */
export function foreignAnswer(kind: CallKind, { name, version }: WireObject): PlatformError {
  const effect = writeKinds.includes(kind) ? 'unknown' : 'none';
  const message = `the response to ${kind} belongs to another call: ${name} at version ${version}`;
  return new PlatformError('unreachable', message, { effect });
}

/** Converts a status other than success into an error. */
export function statusToError(kind: CallKind, answer: HttpAnswer): PlatformError {
  const message = `the platform answered ${kind} with ${String(answer.status)}`;
  switch (answer.status) {
    case 404:
      return new PlatformError('not-found', message);
    case 409:
      return new PlatformError(kind === 'create' ? 'exists' : 'conflict', message);
    case 410:
      return new PlatformError('too-old', message);
    case 413:
      return new PlatformError('too-large', message);
    case 429:
      return new PlatformError('throttled', message, { retryAfterMs: retryAfterMs(answer) });
    default:
      if (answer.status < 500) return new PlatformError('invalid', message);
      // a gateway may answer 5xx although the store behind it has done the write.
      return new PlatformError('unreachable', message, {
        effect: writeKinds.includes(kind) ? 'unknown' : 'none',
        retryAfterMs: retryAfterMs(answer),
      });
  }
}

/** Delay that the `retry-after` header of an answer asks for, in milliseconds. */
export function retryAfterMs(answer: HttpAnswer): number | undefined {
  const seconds = Number(answer.headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * 1_000 : undefined;
}
