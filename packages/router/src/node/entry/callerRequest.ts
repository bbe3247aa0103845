/** Parses and validates a caller's HTTP request into a typed request. */

import type {
  ClientAccountDeclaration,
  EpochMs,
  Refusal,
  ServiceDeclaration,
  WorkClassDeclaration,
} from '@flamingocourse/core';
import type { IncomingMessage } from 'node:http';
import type { Configuration } from '../../types/configuration.js';
import { entryOf } from '@flamingocourse/core';
import { MAX_JSON_DEPTH, decodePathPart, isDeeperThan } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { z } from 'zod';
import { apiKeyDigest, digest } from '../../utils/digest.js';
import { notRun } from '../../utils/problem.js';

const MAX_KEY_LENGTH = 200;
const MAX_DEADLINE_MS = 600_000;
const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

const messageSchema = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.null(), z.array(z.unknown())]).optional(),
});

const chatSchema = z.looseObject({
  model: z.string(),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.literal(1).nullish(),
});

/** Body of a chat-completions call; unknown fields are passed on to the engine. */
export type ChatBody = z.infer<typeof chatSchema>;

/** What the caller sent to identify retries of this request: nothing, a key or a ticket. */
export type RequestIdentity =
  { type: 'none' } | { type: 'key'; keyDigest: string } | { type: 'ticket'; ticket: string };

/** Fields that every caller's request has. */
export interface RequestBase {
  account: ClientAccountDeclaration;
  service: ServiceDeclaration;
  workClass: WorkClassDeclaration;
  identity: RequestIdentity;
  /** Digest of method, path and body. */
  bodyDigest: string;
  idempotent: boolean;
  receivedAt: EpochMs;
  deadline: EpochMs;
  /** True if a peer forwarded the request; it must not be forwarded again. */
  forwarded: boolean;
}

/** A model call. */
export interface ChatRequest extends RequestBase {
  type: 'chat';
  body: ChatBody;
  stream: boolean;
  includeUsage: boolean;
  maxTokens: number;
}

/** A call of a plain service. */
export interface PlainRequest extends RequestBase {
  type: 'plain';
  method: string;
  /** Path and query after the service's name. */
  path: string;
  contentType: string | undefined;
  body: Buffer;
}

export type CallerRequest = ChatRequest | PlainRequest;

/** Header that a router sets on a request that it forwards to the issuer of its ticket. */
export const FORWARDED_HEADER = 'flamingocourse-forwarded';

/** Finds the account of a request by its API key, or refuses as `unauthenticated`. */
export function authenticate(
  req: IncomingMessage,
  configuration: Configuration,
): Result<ClientAccountDeclaration, Refusal> {
  const match = /^Bearer (\S+)$/i.exec(req.headers.authorization ?? '');
  const account = match?.[1] && configuration.accountByKeyDigest(apiKeyDigest(match[1]));
  if (account) return Result.ok(account);
  return Result.err(
    notRun('unauthenticated', 'Send a valid API key as "Authorization: Bearer KEY".'),
  );
}

/**
 * Parses a caller's request and checks it against the current configuration.
 *
 * @example
 * const request = parseCallerRequest(req, body, configuration, clock.now());
 */
export function parseCallerRequest(
  req: IncomingMessage,
  body: Buffer,
  configuration: Configuration,
  now: EpochMs,
): Result<CallerRequest, Refusal> {
  const account = authenticate(req, configuration);
  if (account.isErr) return Result.err(account.error);
  const path = req.url ?? '/';
  if (path.split('?')[0] === '/v1/chat/completions') {
    return parseChat(req, body, account.value, configuration, now);
  }
  return parsePlain(req, body, account.value, configuration, now);
}

function parseChat(
  req: IncomingMessage,
  rawBody: Buffer,
  account: ClientAccountDeclaration,
  configuration: Configuration,
  now: EpochMs,
): Result<ChatRequest, Refusal> {
  if (req.method !== 'POST') {
    return Result.err(notRun('bad-request', 'Use POST for /v1/chat/completions.'));
  }
  const parsed = parseJson(rawBody);
  if (parsed.isErr) return Result.err(parsed.error);
  const body = chatSchema.safeParse(parsed.value);
  if (!body.success) return Result.err(notRun('bad-request', describeIssues(body.error)));
  const service = configuration.serviceByModel(body.data.model);
  if (!service) {
    return Result.err(
      notRun('unknown-service', `No service offers the model "${body.data.model}".`),
    );
  }
  const base = parseBase(req, rawBody, account, service, configuration, now);
  return base.map((common) => ({
    ...common,
    type: 'chat',
    body: body.data,
    stream: body.data.stream ?? false,
    includeUsage: wantsUsage(body.data),
    maxTokens: outputLimit(body.data, common.workClass),
  }));
}

function parsePlain(
  req: IncomingMessage,
  body: Buffer,
  account: ClientAccountDeclaration,
  configuration: Configuration,
  now: EpochMs,
): Result<PlainRequest, Refusal> {
  const match = SERVICE_PATH.exec(req.url ?? '');
  const name = match?.[1] && decodePathPart(match[1]);
  const service = name && configuration.service(name);
  if (!service || service.type !== 'plain') {
    return Result.err(
      notRun('unknown-service', `Nothing is served under "${req.url ?? ''}"; see /services/NAME/.`),
    );
  }
  const base = parseBase(req, body, account, service, configuration, now);
  const method = req.method ?? 'GET';
  return base.map((common) => ({
    ...common,
    idempotent: common.idempotent || SAFE_METHODS.has(method),
    type: 'plain',
    method,
    path: `${match[2] ?? '/'}${match[3] ?? ''}`,
    contentType: req.headers['content-type'],
    body,
  }));
}

function parseBase(
  req: IncomingMessage,
  body: Buffer,
  account: ClientAccountDeclaration,
  service: ServiceDeclaration,
  configuration: Configuration,
  now: EpochMs,
): Result<RequestBase, Refusal> {
  const workClass = chooseClass(req, account, service, configuration);
  if (workClass.isErr) return Result.err(workClass.error);
  const identity = parseIdentity(req, account);
  if (identity.isErr) return Result.err(identity.error);
  const timeAllowed = parseDeadline(req, workClass.value);
  if (timeAllowed.isErr) return Result.err(timeAllowed.error);
  return Result.ok({
    account,
    service,
    workClass: workClass.value,
    identity: identity.value,
    bodyDigest: digest(req.method ?? '', req.url ?? '', body),
    idempotent: workClass.value.idempotent,
    receivedAt: now,
    deadline: now + timeAllowed.value,
    forwarded: req.headers[FORWARDED_HEADER] !== undefined,
  });
}

function chooseClass(
  req: IncomingMessage,
  account: ClientAccountDeclaration,
  service: ServiceDeclaration,
  configuration: Configuration,
): Result<WorkClassDeclaration, Refusal> {
  const named = headerOf(req, 'flamingocourse-class');
  const candidates = configuration.workClasses().filter((item) => item.service === service.name);
  if (named !== undefined) {
    const found = candidates.find((item) => item.name === named);
    if (found) return Result.ok(found);
    const known = candidates.map((item) => item.name).join(', ') || 'none';
    const detail = `Class "${named}" is not a class of service "${service.name}" (known: ${known}).`;
    return Result.err(notRun('unknown-class', detail));
  }
  const byDefault = candidates.find((item) => item.name === account.defaultClass);
  const fallback = byDefault ?? leastImportant(candidates);
  if (fallback) return Result.ok(fallback);
  return Result.err(
    notRun('unknown-class', `Service "${service.name}" has no class of work declared yet.`),
  );
}

// the fallback is the least important class, so that a request without a class cannot displace
// requests of classes that were declared as more important.
function leastImportant(classes: WorkClassDeclaration[]): WorkClassDeclaration | undefined {
  const order = ['background', 'standard', 'first'] as const;
  for (const importance of order) {
    const found = classes.find((item) => item.importance === importance);
    if (found) return found;
  }
  return undefined;
}

function parseIdentity(
  req: IncomingMessage,
  account: ClientAccountDeclaration,
): Result<RequestIdentity, Refusal> {
  const ticket = headerOf(req, 'flamingocourse-ticket');
  const key = headerOf(req, 'idempotency-key');
  if (ticket !== undefined && key !== undefined) {
    return Result.err(
      notRun('bad-request', 'Send either Flamingocourse-Ticket or Idempotency-Key, not both.'),
    );
  }
  if (ticket !== undefined) return Result.ok({ type: 'ticket', ticket });
  if (key === undefined) return Result.ok({ type: 'none' });
  if (key.length === 0 || key.length > MAX_KEY_LENGTH) {
    const detail = `Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} characters.`;
    return Result.err(notRun('bad-request', detail));
  }
  return Result.ok({ type: 'key', keyDigest: digest(account.name, key) });
}

function parseDeadline(
  req: IncomingMessage,
  workClass: WorkClassDeclaration,
): Result<number, Refusal> {
  const text = headerOf(req, 'flamingocourse-deadline-ms');
  if (text === undefined) return Result.ok(workClass.target.completeMs);
  const value = Number(text);
  if (Number.isInteger(value) && value > 0 && value <= MAX_DEADLINE_MS) return Result.ok(value);
  const detail = `Flamingocourse-Deadline-Ms must be a whole number from 1 to ${MAX_DEADLINE_MS}.`;
  return Result.err(notRun('bad-request', detail));
}

function outputLimit(body: ChatBody, workClass: WorkClassDeclaration): number {
  const requested = body.max_completion_tokens ?? body.max_tokens ?? workClass.maxOutputTokens;
  return Math.min(requested, workClass.maxOutputTokens);
}

function wantsUsage(body: ChatBody): boolean {
  const options = body.stream_options;
  return (
    typeof options === 'object' &&
    options !== null &&
    'include_usage' in options &&
    options.include_usage === true
  );
}

function parseJson(body: Buffer): Result<unknown, Refusal> {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    return isDeeperThan(value, MAX_JSON_DEPTH)
      ? Result.err(notRun('bad-request', 'The body is nested too deeply.'))
      : Result.ok(value);
  } catch (err) {
    return Result.err(notRun('bad-request', `The body is not valid JSON: ${String(err)}`));
  }
}

function describeIssues(err: z.ZodError): string {
  return err.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`).join('; ');
}

function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = entryOf(req.headers, name);
  return Array.isArray(value) ? value[0] : value;
}
