/** Control calls of the platform stand-in, on the operators' listener. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EntranceFaults } from './entranceFaults.js';
import type { ControlHandler } from './entrance.js';
import type { PlatformStandIn } from './platformStandIn.js';
import { z } from 'zod';
import { faultOrderSchema } from './entranceFaults.js';
import { readBody, sendFault, sendJson } from './httpReplies.js';

const maxControlBytes = 1_048_576;

/** Body of `POST /control/instances`: the whole list of one service. */
const instancesOrderSchema = z.object({
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
        void takeOrder(req, res, (body) => orderFaults(standIn, body));
        return true;
      case 'POST /control/instances':
        void takeOrder(req, res, (body) => orderInstances(standIn, body));
        return true;
      default:
        return false;
    }
  };
}

async function takeOrder(
  req: IncomingMessage,
  res: ServerResponse,
  order: (body: unknown) => string | undefined,
): Promise<void> {
  try {
    const body = await readBody(req, maxControlBytes);
    const problem = order(JSON.parse(body ?? ''));
    if (problem === undefined) sendJson(res, 200, '{}');
    else sendFault(res, 400, problem);
  } catch {
    sendFault(res, 400, 'the body is not JSON');
  }
}

function orderFaults(standIn: PlatformStandIn, body: unknown): string | undefined {
  const order = faultOrderSchema.safeParse(body);
  if (!order.success) return z.prettifyError(order.error);
  const { dataCentre, ...switches } = order.data;
  const faults = Object.fromEntries(
    Object.entries(switches).filter(([, value]) => value !== undefined),
  ) as Partial<EntranceFaults>;
  return standIn.setFaults(dataCentre, faults) ? undefined : `no data centre "${dataCentre}"`;
}

function orderInstances(standIn: PlatformStandIn, body: unknown): string | undefined {
  const order = instancesOrderSchema.safeParse(body);
  if (!order.success) return z.prettifyError(order.error);
  standIn.setInstances(order.data.service, order.data.items);
  return undefined;
}
