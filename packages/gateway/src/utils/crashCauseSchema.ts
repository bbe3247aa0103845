/** Schema of the stored objects for requests that crash backend servers. */

import type { ProvenCrashCause } from '@flamingocourse/core';
import { z } from 'zod';

const MAX_TEXT = 300;
const MAX_SERVERS = 16;

export const crashCauseSchema: z.ZodType<ProvenCrashCause> = z.object({
  fingerprint: z.string().min(1).max(MAX_TEXT),
  servers: z.array(z.string().min(1).max(MAX_TEXT)).max(MAX_SERVERS),
});
