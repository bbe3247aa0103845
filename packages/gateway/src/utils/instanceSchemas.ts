/** Schema of the stored objects that list the instances of the fleet. */

import { tableSchema } from '@flamingocourse/core';
import { z } from 'zod';

/** Instances of one data centre, keyed by name. */
export interface StoredInstances {
  instances: Record<string, { meshUrl?: string | undefined }>;
}

export const storedInstancesSchema: z.ZodType<StoredInstances> = z.object({
  instances: tableSchema(z.string(), z.object({ meshUrl: z.string().optional() })),
});
