/** Sends one attempt of a plain service call and checks that the answer belongs to this request. */

import type { AnswerVerdict } from '../../runtime/answerCheck.js';
import type { AttemptOutcome, PlannedRequest, ServiceMix } from '../../types/load.js';
import { z } from 'zod';
import {
  callerHeaders,
  parseJson,
  parseRefusal,
  readText,
  requestIdOf,
  sendCall,
} from './callerRequest.js';

const readSchema = z.object({ query: z.object({ caller: z.string() }) });
const entrySchema = z.object({ entry: z.object({ key: z.string(), caller: z.string() }) });
const FIRST_ERROR_STATUS = 400;

/** Sends a read or an entry to one router and checks the answer. */
export async function callService(
  url: string,
  request: PlannedRequest & { item: ServiceMix },
  ticket: string | undefined,
  signal: AbortSignal,
): Promise<AttemptOutcome> {
  const { service, path, type } = request.item;
  const base = `${url}/services/${encodeURIComponent(service)}${path}`;
  const headers = callerHeaders(request, ticket);
  const res =
    type === 'read'
      ? await sendCall({ method: 'GET', url: `${base}?caller=${request.key}`, headers, signal })
      : await sendCall({ method: 'POST', url: base, headers, body: entryBody(request), signal });
  const text = await readText(res);
  if ((res.statusCode ?? 0) >= FIRST_ERROR_STATUS) return parseRefusal(text, res);
  const verdict = type === 'read' ? checkRead(request, text) : checkEntry(request, text);
  return { type: 'answer', verdict, firstAt: performance.now(), ...requestIdOf(res) };
}

function entryBody(request: PlannedRequest): string {
  return JSON.stringify({
    key: request.key,
    caller: request.account.name,
    subject: request.prompt,
  });
}

function checkRead(request: PlannedRequest, text: string): AnswerVerdict {
  const answer = readSchema.safeParse(parseJson(text)).data;
  if (!answer) return 'cut';
  return answer.query.caller === request.key ? 'whole' : 'mixed';
}

function checkEntry(request: PlannedRequest, text: string): AnswerVerdict {
  const answer = entrySchema.safeParse(parseJson(text)).data;
  if (!answer) return 'cut';
  const isOwn = answer.entry.key === request.key && answer.entry.caller === request.account.name;
  return isOwn ? 'whole' : 'mixed';
}
