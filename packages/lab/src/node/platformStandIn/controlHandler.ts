/** Control routes of the platform stand-in, served on the operators' listener. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EntranceFaults } from './entranceFaults.js';
import type { ControlHandler } from './entrance.js';
import type { PlatformStandIn } from './platformStandIn.js';
import { runInBackground } from '@flamingocourse/kernel';
import { endOnFailure } from '../../utils/endOnFailure.js';
import { z } from 'zod';
import { faultCommandSchema } from './entranceFaults.js';
import { readBody, sendFault, sendJson } from './httpReplies.js';

const maxControlBytes = 1_048_576;

/** Body of `POST /control/instances`: the complete instance list of one service. */
const instancesCommandSchema = z.object({
  service: z.string(),
  items: z.array(
    z.object({
      service: z.string(),
      id: z.string(),
      dataCentre: z.string(),
      url: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Handles `/control/...`; returns false for any other path. */
export function createControlHandler(standIn: PlatformStandIn): ControlHandler {
  return (req, res) => {
    const call = `${req.method ?? ''} ${req.url ?? ''}`;
    switch (call) {
      case 'GET /control/state':
        sendJson(res, 200, JSON.stringify(standIn.state()));
        return true;
      case 'POST /control/faults':
        runInBackground(
          () => handleCommand(req, res, (body) => applyFaults(standIn, body)),
          endOnFailure,
        );
        return true;
      case 'POST /control/instances':
        runInBackground(
          () => handleCommand(req, res, (body) => applyInstances(standIn, body)),
          endOnFailure,
        );
        return true;
      default:
        return false;
    }
  };
}

async function handleCommand(
  req: IncomingMessage,
  res: ServerResponse,
  apply: (body: unknown) => string | undefined,
): Promise<void> {
  try {
    const body = await readBody(req, maxControlBytes);
    const problem = apply(JSON.parse(body ?? ''));
    if (problem === undefined) sendJson(res, 200, '{}');
    else sendFault(res, 400, problem);
  } catch {
    sendFault(res, 400, 'the body is not JSON');
  }
}

function applyFaults(standIn: PlatformStandIn, body: unknown): string | undefined {
  const command = faultCommandSchema.safeParse(body);
  if (!command.success) return z.prettifyError(command.error);
  const { dataCentre, ...switches } = command.data;
  const faults = Object.fromEntries(
    Object.entries(switches).filter(([, value]) => value !== undefined),
  ) as Partial<EntranceFaults>;
  return standIn.setFaults(dataCentre, faults) ? undefined : `no data centre "${dataCentre}"`;
}

function applyInstances(standIn: PlatformStandIn, body: unknown): string | undefined {
  const command = instancesCommandSchema.safeParse(body);
  if (!command.success) return z.prettifyError(command.error);
  standIn.setInstances(command.data.service, command.data.items);
  return undefined;
}
