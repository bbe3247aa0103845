/** Schemas of declared objects. Each description tells operators which value to write. */

import type { Declaration, DeclarationKind } from '../../types/declaration.js';
import { z } from 'zod';
import { entryOf } from '../../utils/table.js';

/** All kinds, in an order in which each kind refers only to earlier ones. */
export const declarationKinds = [
  'Deployment',
  'Service',
  'WorkClass',
  'ClientAccount',
] as const satisfies DeclarationKind[];

const maxNameLength = 63;
const maxTargetMs = 3_600_000;
const maxTokens = 1_000_000_000_000;
const maxOutputTokensOfRequest = 131_072;
const maxConcurrency = 4_096;
const maxRideThroughSeconds = 604_800;

const name = z
  .string()
  .max(maxNameLength)
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/)
  .describe('a name of small letters, digits and hyphens, at most 63 characters long');

const tokens = z.int().min(0).max(maxTokens);

const targetMs = z.int().min(1).max(maxTargetMs);

const workClassSchema = z.strictObject({
  kind: z.literal('WorkClass'),
  name,
  service: name.describe('the name of a declared service'),
  target: z
    .strictObject({
      firstTokenMs: targetMs.describe('whole milliseconds until the first token, such as 800'),
      completeMs: targetMs.describe('whole milliseconds until the whole answer, such as 20000'),
    })
    .describe('an object with firstTokenMs and completeMs'),
  budgetShare: z
    .number()
    .min(0)
    .max(1)
    .default(1)
    .describe('a number from 0 to 1, such as 0.25 for 25 % of the budget'),
  importance: z
    .enum(['first', 'standard', 'background'])
    .default('standard')
    .describe('"first", "standard" or "background"'),
  idempotent: z
    .boolean()
    .optional()
    .describe('true where a request may run more than once, else false'),
  maxOutputTokens: z
    .int()
    .min(1)
    .max(maxOutputTokensOfRequest)
    .default(512)
    .describe('a whole number of tokens from 1 to 131072'),
});

const clientAccountSchema = z.strictObject({
  kind: z.literal('ClientAccount'),
  name,
  apiKeyDigests: z
    .array(
      z
        .string()
        .regex(/^[0-9a-f]{64}$/)
        .describe(
          'the SHA-256 digest of the key as 64 small hex digits, as `sha256sum` prints it; never the key itself',
        ),
    )
    .min(1)
    .max(16)
    .describe('an array of 1 to 16 digests'),
  openingTokens: tokens.default(0).describe('a whole number of tokens, 0 or more'),
  defaultClass: name.optional().describe('the name of a declared class'),
});

const serviceSchema = z.strictObject({
  kind: z.literal('Service'),
  name,
  type: z.enum(['model', 'plain']).describe('"model" for model engines, "plain" for others'),
  discovery: z
    .strictObject({ instanceList: name.describe('the name of the service in the instance list') })
    .describe('an object with instanceList'),
  models: z
    .array(z.string().min(1).max(128).describe('a model name that callers ask for'))
    .max(64)
    .default([])
    .describe('an array of model names'),
  checksFencing: z
    .boolean()
    .default(false)
    .describe('true where the servers refuse an old fencing number, else false'),
  tokensPerCall: tokens.default(0).describe('a whole number of tokens, 0 or more'),
  concurrencyPerServer: z
    .int()
    .min(1)
    .max(maxConcurrency)
    .default(8)
    .describe('a whole number of requests from 1 to 4096'),
});

const deploymentSchema = z.strictObject({
  kind: z.literal('Deployment'),
  name,
  policy: z
    .enum(['avoid-overspend', 'avoid-false-refusals'])
    .describe('"avoid-overspend" or "avoid-false-refusals"'),
  rideThroughSeconds: z
    .int()
    .min(1)
    .max(maxRideThroughSeconds)
    .describe('whole seconds from 1 to 604800'),
});

/** Schema of any declared object as written in a file. */
export const declarationSchema = z
  .discriminatedUnion('kind', [
    workClassSchema,
    clientAccountSchema,
    serviceSchema,
    deploymentSchema,
  ])
  .describe('an object with a kind');

/** A parsed object with defaults, except for defaults that depend on another object. */
export type ParsedDeclaration = z.infer<typeof declarationSchema>;

/**
 * Sets the defaults that depend on another object: a class is idempotent unless its service is
 * plain, because calls of a plain service may have side effects, such as bookings.
 */
export function completeDeclaration(
  parsed: ParsedDeclaration,
  isPlainService: (service: string) => boolean,
): Declaration {
  if (parsed.kind === 'ClientAccount') {
    const { defaultClass, ...rest } = parsed;
    return defaultClass === undefined ? rest : { ...rest, defaultClass };
  }
  if (parsed.kind !== 'WorkClass') return parsed;
  return { ...parsed, idempotent: parsed.idempotent ?? !isPlainService(parsed.service) };
}

const derivedKeys: Record<string, string> = {
  weight: 'The system derives weights from the targets; state a target instead.',
  instance: 'The system finds instances in the instance list; name the service instead.',
  server: 'The system finds servers in the instance list; name the service instead.',
  replica: 'The number of servers is not declared; state a target instead.',
  priority: 'The system derives priorities; set importance instead.',
};

const derivedKeyPatterns: [RegExp, keyof typeof derivedKeys][] = [
  [/^weight/i, 'weight'],
  [/^(instance|host|endpoint|url|address)/i, 'instance'],
  [/^(server|backend|node|upstream)/i, 'server'],
  [/^replica/i, 'replica'],
  [/^priorit/i, 'priority'],
];

/**
 * Returns a hint for keys that operators know from other systems and that are not declared here.
 */
export function explainDerivedKey(key: string): string | undefined {
  const form = derivedKeyPatterns.find(([pattern]) => pattern.test(key));
  return form && `Remove it. ${entryOf(derivedKeys, form[1]) ?? ''}`;
}
