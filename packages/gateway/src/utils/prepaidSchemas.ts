/** Schemas of the stored objects of prepaid budgets. An account that cannot be read costs itself alone. */

import type {
  PrepaidBudgets,
  PrepaidGrant,
  PrepaidPage,
  PrepaidWriter,
} from '@flamingocourse/core';
import { partlyReadTableSchema, tableSchema } from '@flamingocourse/core';
import { z } from 'zod';

const tokens = z.number();

/** A process that no report comes from, so that an instance's next report begins anew. */
const UNKNOWN_WRITER: PrepaidWriter = { incarnation: '', seq: 0 };

const accountSchema = z.object({
  granted: tokens,
  returned: tokens,
  spent: tokens,
  inDoubt: tokens,
  shares: tableSchema(z.string(), z.object({ held: tokens, rate: z.number() })),
});

const writerSchema = z
  .object({ incarnation: z.string(), seq: z.number().int() })
  .catch(UNKNOWN_WRITER);

export const prepaidPageSchema: z.ZodType<PrepaidPage> = z
  .object({
    accounts: partlyReadTableSchema(z.string(), accountSchema),
    writers: tableSchema(z.string(), writerSchema),
  })
  .transform(({ accounts: { readable, ...rest }, writers }) => ({
    accounts: readable,
    writers,
    ...rest,
  }));

/** The JSON value of a page, with the entries that cannot be read where they were. */
export function encodePrepaidPage({ unreadable, ...page }: PrepaidPage): unknown {
  return { ...page, accounts: { ...page.accounts, ...unreadable } };
}

const grantsSchema: z.ZodType<Record<string, PrepaidGrant>> = tableSchema(
  z.string(),
  z.object({ granted: tokens, returned: tokens, gone: tokens, rate: z.number().optional() }),
);

/** Groups are called by their numbers. */
const groupSchema = z.string().regex(/^\d{1,9}$/);

export const prepaidBudgetsSchema: z.ZodType<PrepaidBudgets> = z
  .object({
    members: partlyReadTableSchema(z.string(), groupSchema),
    grants: partlyReadTableSchema(z.string(), grantsSchema),
  })
  .transform(({ members, grants: { readable, ...rest } }) => ({
    // an instance whose group cannot be read joins one again.
    members: members.readable,
    grants: readable,
    ...rest,
  }));

/** The JSON value of the budgets, with the entries that cannot be read where they were. */
export function encodePrepaidBudgets({ unreadable, ...budgets }: PrepaidBudgets): unknown {
  return { ...budgets, grants: { ...budgets.grants, ...unreadable } };
}
