/** Commands that only read: get, history, bills and status. */

import { command, option, optional, positional, string } from 'cmd-ts';
import { exportInvoice, findInvoiceFault } from '../../runtime/bills.js';
import { formatTime, renderTable } from '../../utils/renderTable.js';
import { platformArgs, runOnPlatform } from '../commonArgs.js';
import type { AuditEntry } from '../../runtime/audit.js';
import { Result } from 'true-myth';
import { fetchJson } from '../fetchJson.js';
import { loadObjects } from '../../runtime/loadObjects.js';
import { objectName } from '@flamingocourse/core';
import { readHistory } from '../../runtime/audit.js';
import { readStatus } from '../../runtime/status.js';

/** `get`: shows the declared objects that are in force. */
export const getCommand = command({
  name: 'get',
  description: 'show declared objects in force',
  args: {
    ...platformArgs,
    object: positional({ type: optional(string), displayName: 'Kind or Kind.name' }),
  },
  handler: async (args) => {
    await runOnPlatform(args, async ({ store }) => {
      const loaded = await loadObjects(store);
      return loaded.map(({ objects, unreadable }) => {
        const { object } = args;
        const chosen = objects
          .filter((one) => one.declaration !== undefined)
          .filter((one) => !object || one.kind === object || objectName(one) === object);
        const rows = chosen.map((one) => [
          objectName(one),
          one.revision,
          one.change?.who,
          one.change && formatTime(one.change.at),
        ]);
        const table = renderTable(['object', 'revision', 'changed by', 'at'], rows);
        const bodies = chosen.map((one) => JSON.stringify(one.declaration, null, 2));
        const warnings = unreadable.map(({ name, message }) => `${name} is unreadable: ${message}`);
        const reason = chosen.length === 0 && object ? 'faults' : 'ok';
        if (reason === 'faults') warnings.push(`No object in force matches "${object ?? ''}".`);
        const text = object && chosen.length === 1 ? `${table}\n${bodies.join('\n')}` : table;
        return { reason, json: chosen, text, warnings } as const;
      });
    });
  },
});

/** `history`: shows the audit trail. */
export const historyCommand = command({
  name: 'history',
  description: 'show who changed what, oldest first',
  args: {
    ...platformArgs,
    object: positional({ type: optional(string), displayName: 'Kind.name' }),
  },
  handler: async (args) => {
    await runOnPlatform(args, async (operator) => {
      const history = await readHistory(operator);
      return history.map((entries) => {
        const chosen = entries.filter((one) => !args.object || one.object === args.object);
        const head = ['at', 'who', 'what', 'object', 'verdict', 'revision', 'details'];
        const text = renderTable(head, chosen.map(describeEntry));
        return { reason: 'ok', json: chosen, text } as const;
      });
    });
  },
});

/** `bills`: exports an account's invoice. */
export const billsCommand = command({
  name: 'bills',
  description: 'export the invoice of an account, one line for each billed request',
  args: { ...platformArgs, account: option({ type: string, long: 'account' }) },
  handler: async (args) => {
    await runOnPlatform(args, async (operator) => {
      const invoice = await exportInvoice(operator, args.account);
      return invoice.map((found) => {
        const fault = findInvoiceFault(found);
        const rows = found.lines.map((bill) => [
          formatTime(bill.at),
          `${bill.holder}#${bill.ticket}`,
          bill.workClass,
          bill.service,
          bill.promptTokens,
          bill.completionTokens,
          bill.cost,
        ]);
        const head = ['at', 'request', 'class', 'service', 'prompt', 'completion', 'cost'];
        const total = `${found.lines.length} requests, ${found.total} tokens; billed ${found.billed}`;
        const text = `${renderTable(head, rows)}\n${total}`;
        const reason = fault === undefined ? 'ok' : 'faults';
        return { reason, json: found, text, warnings: fault === undefined ? [] : [fault] } as const;
      });
    });
  },
});

/** `status`: queries all routers. */
export const statusCommand = command({
  name: 'status',
  description: 'show the state of every router of the instance list',
  args: platformArgs,
  handler: async (args) => {
    await runOnPlatform(args, async (operator) => {
      const status = await readStatus(operator, fetchJson);
      if (status.isErr) return Result.err(status.error);
      const routers = status.value;
      const rows = routers.map((one) => [
        one.dataCentre,
        one.instance,
        one.listed,
        one.ready,
        one.revision,
      ]);
      const text = renderTable(['data centre', 'router', 'listed', 'state', 'revision'], rows);
      const hasUnready = routers.some((one) => one.listed === 'live' && one.ready !== 'ready');
      return Result.ok({ reason: hasUnready ? 'faults' : 'ok', json: routers, text });
    });
  },
});

function describeEntry(entry: AuditEntry): (string | number | undefined)[] {
  const head = [formatTime(entry.at), entry.who, entry.what, entry.object];
  if (!('verdict' in entry)) return [...head, 'accepted', undefined, entry.amount];
  const acknowledged = entry.guards.length > 0 ? `guard rails: ${entry.guards.join(', ')}` : '';
  return [...head, entry.verdict, entry.toRevision, entry.reason ?? acknowledged];
}
