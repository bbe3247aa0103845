/** Shape of a stored page of prepaid budgets. */

import type { PrepaidPage } from '@flamingocourse/core';
import { z } from 'zod';

const tokens = z.number();

export const prepaidPageSchema: z.ZodType<PrepaidPage> = z.object({
  accounts: z.record(
    z.string(),
    z.object({
      spent: tokens,
      inDoubt: tokens,
      shares: z.record(z.string(), z.object({ held: tokens, rate: z.number() })),
    }),
  ),
  writers: z.record(z.string(), z.object({ incarnation: z.string(), seq: z.number().int() })),
});
