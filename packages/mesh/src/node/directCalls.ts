/**
 * Calls that bypass tRPC, whose adapter converts each request into web streams: an instance that many
 * others follow would spend most of its control time there.
 */

import type { BodyBuffers } from '@flamingocourse/kernel';
import type { Agent, IncomingMessage, ServerResponse } from 'node:http';
import type {
  DirectProcedure,
  MeshHandler,
  ProcedureInput,
  ProcedureOutput,
} from '../types/procedures.js';
import { entryOf } from '@flamingocourse/core';
import { exchange, parseJsonText } from '@flamingocourse/kernel';
import { Result } from 'true-myth';
import { inputSchemas } from '../runtime/schemas.js';
import { MeshError } from '../utils/meshError.js';

/** Path of a procedure; tRPC has no procedure with a slash in its name. */
const PATHS: Readonly<Record<string, DirectProcedure>> = {
  '/direct/followStore': 'followStore',
  '/direct/shareConditions': 'shareConditions',
};
/** Maximum size of an input, in bytes. */
export const MAX_DIRECT_INPUT_BYTES = 16_384;

const statusInvalid = 400;
const statusUntrusted = 401;
const statusRefused = 412;
const statusTooMany = 429;
const statusFailed = 500;

/** The procedure that a request calls directly; undefined for other requests. */
export function directProcedure(req: IncomingMessage): DirectProcedure | undefined {
  return entryOf(PATHS, req.url ?? '');
}

/** A direct call that arrived. */
export interface DirectCall<P extends DirectProcedure> {
  procedure: P;
  /** The input as it came. */
  text: string;
  res: ServerResponse;
  isTrusted: boolean;
  handler: MeshHandler<P> | undefined;
}

/** Answers a direct call. Never rejects. */
export async function answerDirect<P extends DirectProcedure>(call: DirectCall<P>): Promise<void> {
  const { status, body } = await serve(call).catch((err: unknown) => {
    const reason = err instanceof Error ? err.message : String(err);
    return { status: statusFailed, body: JSON.stringify({ reason }) };
  });
  const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
  if (!call.res.destroyed) call.res.writeHead(status, headers).end(body);
}

interface Answer {
  status: number;
  body: string;
}

async function serve<P extends DirectProcedure>(call: DirectCall<P>): Promise<Answer> {
  if (!call.isTrusted) return refusal(statusUntrusted, 'the mesh secret does not match');
  const input = parseInput(call.procedure, call.text);
  if (input === undefined) return refusal(statusInvalid, 'the input is malformed');
  if (!call.handler) return refusal(statusRefused, `${call.procedure} is not served here yet`);
  const result = await call.handler(input);
  if (result.isErr) return refusal(statusRefused, result.error);
  return { status: 200, body: JSON.stringify(result.value) };
}

function refusal(status: number, reason: string): Answer {
  return { status, body: JSON.stringify({ reason }) };
}

function parseInput<P extends DirectProcedure>(
  procedure: P,
  text: string,
): ProcedureInput<P> | undefined {
  const json = parseJson(text);
  if (json.isErr) return undefined;
  const parsed = inputSchemas[procedure].safeParse(json.value);
  return parsed.success ? parsed.data : undefined;
}

/** Options of {@link callDirect}. */
export interface DirectCallOptions {
  meshUrl: string;
  agent: Agent;
  headers: Record<string, string>;
  timeoutMs: number;
  maxAnswerBytes: number;
  buffers: BodyBuffers;
  signal: AbortSignal | undefined;
}

/** Calls a procedure of a peer directly. The answer is not validated. */
export async function callDirect<P extends DirectProcedure>(
  procedure: P,
  input: ProcedureInput<P>,
  { meshUrl, ...options }: DirectCallOptions,
): Promise<Result<ProcedureOutput<P>, MeshError>> {
  const answer = await exchange({
    ...options,
    method: 'POST',
    url: new URL(`/direct/${procedure}`, meshUrl),
    body: JSON.stringify(input),
  });
  if (answer.isErr) {
    const { reason, cause } = answer.error;
    const code = reason === 'timeout' ? 'timeout' : 'unreachable';
    return Result.err(new MeshError(code, `${procedure}: ${reason}`, { cause }));
  }
  const { status, body } = answer.value;
  const json = parseJson(body);
  if (status === 200) {
    return json
      .map((value) => value as ProcedureOutput<P>)
      .mapErr((cause) => new MeshError('unreachable', `${procedure}: no JSON`, { cause }));
  }
  const reason = json.isOk ? reasonIn(json.value) : `status ${String(status)}`;
  return Result.err(new MeshError(codeOf(status), `${procedure}: ${reason}`));
}

function parseJson(text: string): Result<unknown, unknown> {
  try {
    return Result.ok(parseJsonText(text));
  } catch (err) {
    return Result.err(err);
  }
}

function codeOf(status: number): MeshError['code'] {
  if ([statusUntrusted, statusRefused, statusTooMany].includes(status)) return 'refused';
  return status < statusFailed ? 'invalid' : 'unreachable';
}

function reasonIn(value: unknown): string {
  const isObject = typeof value === 'object' && value !== null && 'reason' in value;
  return isObject ? String(value.reason) : 'no reason was given';
}
