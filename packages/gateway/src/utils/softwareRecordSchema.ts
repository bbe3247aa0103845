/** Schema of the stored objects that record which software versions serve a service. */

import type { SoftwareRecord } from '@flamingocourse/core';
import { z } from 'zod';

export const softwareRecordSchema: z.ZodType<SoftwareRecord> = z.object({
  service: z.string(),
  versions: z.array(z.object({ version: z.string(), state: z.enum(['serving', 'ending']) })),
});
