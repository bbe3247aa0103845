/** Bodies of the Object API on the wire; see docs/design/protocols.md. */

import type { ZodType } from 'zod';
import type { CallKind, Collection, VersionedObject } from '../types/objects.js';
import type { WireObject } from '../runtime/storeDialect.js';
import type { HttpAnswer, TransportFault } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { z } from 'zod';
import { PlatformError } from '../utils/platformError.js';

export const wireObjectSchema = z.object({
  metadata: z.object({ name: z.string(), resourceVersion: z.string().regex(/^\d+$/) }),
  value: z.unknown().optional(),
});

/** Takes the names of the Object API off an object. */
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
    // a bookmark names no object and has no value.
    value: z.unknown().optional(),
  }),
});

export const wireInstanceSchema = z.object({
  service: z.string(),
  id: z.string(),
  dataCentre: z.string(),
  url: z.string(),
  state: z.enum(['live', 'leaving']),
});

export const wireInstanceListSchema = z.object({ items: z.array(z.unknown()) });

const writeKinds: readonly CallKind[] = ['create', 'update', 'remove'];

/** Parses text that should be JSON of a given shape. */
export function parseJson<T>(text: string, schema: ZodType<T>): Result<T, PlatformError> {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    if (parsed.success) return Result.ok(parsed.data);
    return Result.err(
      new PlatformError('invalid', 'the answer has the wrong shape', { cause: parsed.error }),
    );
  } catch (err) {
    return Result.err(new PlatformError('invalid', 'the answer is not JSON', { cause: err }));
  }
}

/** Checks an object's value with the schema of its collection. */
export function checkObject<T>(
  collection: Collection<T>,
  wire: WireObject,
): Result<VersionedObject<T>, PlatformError> {
  const { name, version } = wire;
  const parsed = collection.schema.safeParse(wire.value);
  if (parsed.success) return Result.ok({ name, version, value: parsed.data });
  return Result.err(
    new PlatformError('invalid', `${collection.name}/${name} has a value of the wrong shape`, {
      cause: parsed.error,
    }),
  );
}

/** Turns a missing answer into an error. A write may have taken effect all the same. */
export function faultToError(kind: CallKind, fault: TransportFault): PlatformError {
  const effect = writeKinds.includes(kind) ? 'unknown' : 'none';
  const { reason, cause } = fault;
  if (reason === 'too-large') {
    return new PlatformError('too-large', `the answer to ${kind} is too large`, { effect });
  }
  return new PlatformError('unreachable', `no answer to ${kind}: ${reason}`, { cause, effect });
}

/** Turns a status other than success into an error. */
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
      // a gateway may give 5xx after the store behind it has done the write.
      return new PlatformError('unreachable', message, {
        effect: writeKinds.includes(kind) ? 'unknown' : 'none',
        retryAfterMs: retryAfterMs(answer),
      });
  }
}

/** Wait that an answer asks for, in milliseconds. */
export function retryAfterMs(answer: HttpAnswer): number | undefined {
  const seconds = Number(answer.headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * 1_000 : undefined;
}
