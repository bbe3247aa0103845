/** Schema of the stored objects that list the instances of the fleet. */

import { tableSchema } from '@flamingocourse/core';
import { z } from 'zod';

/** Instances of one data centre, keyed by name; each was written by that instance. */
export interface StoredInstances {
  instances: Record<string, { meshUrl?: unknown }>;
}

/** Longest URL that messages between instances carry, in characters. */
const MAX_URL_LENGTH = 300;

const meshUrlSchema = z.url({ protocol: /^http$/ }).max(MAX_URL_LENGTH);

export const storedInstancesSchema: z.ZodType<StoredInstances> = z.object({
  instances: tableSchema(z.string(), z.object({ meshUrl: z.unknown().optional() }).catch({})),
});

/** Longest name of an instance, in characters; messages between instances carry no longer one. */
export const MAX_INSTANCE_NAME_LENGTH = 300;

/**
 * Whether an instance can have a name that messages and URLs carry.
 *
 * @example
 * isInstanceName('edge-1'); // true
 */
export function isInstanceName(name: string): boolean {
  return name !== '' && name.length <= MAX_INSTANCE_NAME_LENGTH && !/\p{Surrogate}/u.test(name);
}

/** Whether a value is the URL of a listener for peers. */
export function isMeshUrl(value: unknown): value is string {
  return meshUrlSchema.safeParse(value).success;
}
