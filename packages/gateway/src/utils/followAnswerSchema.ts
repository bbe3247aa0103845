/** Schema of what another instance passes on from the store. */

import type { FollowAnswer, PassedOnChange } from '@flamingocourse/core';
import { tableSchema } from '@flamingocourse/core';
import { z } from 'zod';

/** Maximum digits of a version. */
const MAX_DIGITS = 32;

/** Any text: what names an object is checked with the object, which costs itself alone. */
const name = z.string();
const version = z.string().max(MAX_DIGITS).regex(/^\d+$/);

/** The value is checked by the schema of its collection. */
const changeSchema: z.ZodType<PassedOnChange> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('removed'), name }),
  z
    .object({
      type: z.literal('changed'),
      object: z.object({ name, version, value: z.unknown().optional() }),
    })
    .transform(({ type, object }) => ({ type, object: { ...object, value: object.value } })),
]);

export const followAnswerSchema: z.ZodType<FollowAnswer> = z.object({
  collections: tableSchema(
    name,
    z.union([
      z.literal('ask-store'),
      z.object({ version, ageMs: z.number().min(0), changes: z.array(changeSchema) }),
    ]),
  ),
  heldMs: z.number().min(0),
});
