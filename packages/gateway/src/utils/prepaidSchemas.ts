/** Schemas of the stored objects of prepaid budgets. */

import type { PrepaidBudgets, PrepaidPage } from '@flamingocourse/core';
import { z } from 'zod';

const tokens = z.number();

export const prepaidPageSchema: z.ZodType<PrepaidPage> = z.object({
  accounts: z.record(
    z.string(),
    z.object({
      granted: tokens,
      returned: tokens,
      spent: tokens,
      inDoubt: tokens,
      shares: z.record(z.string(), z.object({ held: tokens, rate: z.number() })),
    }),
  ),
  writers: z.record(z.string(), z.object({ incarnation: z.string(), seq: z.number().int() })),
});

export const prepaidBudgetsSchema: z.ZodType<PrepaidBudgets> = z.object({
  members: z.record(z.string(), z.string()),
  grants: z.record(
    z.string(),
    z.record(
      z.string(),
      z.object({ granted: tokens, returned: tokens, gone: tokens, rate: z.number().optional() }),
    ),
  ),
});
