/** Schemas of the stored objects of prepaid budgets. */

import type { PrepaidBudgets, PrepaidPage } from '@flamingocourse/core';
import { tableSchema } from '@flamingocourse/core';
import { z } from 'zod';

const tokens = z.number();

export const prepaidPageSchema: z.ZodType<PrepaidPage> = z.object({
  accounts: tableSchema(
    z.string(),
    z.object({
      granted: tokens,
      returned: tokens,
      spent: tokens,
      inDoubt: tokens,
      shares: tableSchema(z.string(), z.object({ held: tokens, rate: z.number() })),
    }),
  ),
  writers: tableSchema(z.string(), z.object({ incarnation: z.string(), seq: z.number().int() })),
});

export const prepaidBudgetsSchema: z.ZodType<PrepaidBudgets> = z.object({
  members: tableSchema(z.string(), z.string()),
  grants: tableSchema(
    z.string(),
    tableSchema(
      z.string(),
      z.object({ granted: tokens, returned: tokens, gone: tokens, rate: z.number().optional() }),
    ),
  ),
});
