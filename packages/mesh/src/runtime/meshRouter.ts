/**
 * tRPC router of the mesh listener. It has only mutations, because tRPC puts the input of queries
 * into URLs.
 */

import type {
  MeshHandler,
  ProcedureInput,
  ProcedureName,
  RoutedProcedure,
} from '../types/procedures.js';
import type { UnreadableListener } from '../types/unreadable.js';
import { initTRPC, TRPCError } from '@trpc/server';
import { readMessage } from './readMessage.js';
import { inputEntries, inputSchemas } from './schemas.js';

/** Context of a call, read from its headers. */
export interface MeshCallContext {
  /** Whether the shared secret matches or none is configured. */
  trusted: boolean;
  /** Incarnation that the call is meant for; undefined if the call does not state one. */
  to: string | undefined;
}

/** Dependencies of the procedures. */
export interface MeshRouterPorts {
  /** Returns the handler of a procedure, if it is registered. */
  handler<P extends ProcedureName>(procedure: P): MeshHandler<P> | undefined;
  /** Called with what cannot be read of an input. */
  onUnreadable: UnreadableListener;
  /** Whether an incarnation belongs to this process. */
  isSelf(incarnation: string): boolean;
}

const trpc = initTRPC.context<MeshCallContext>().create({ isDev: false });

/** Creates the router; handlers may be registered later. */
export function createMeshRouter(ports: MeshRouterPorts) {
  return trpc.router({
    heartbeat: createProcedure(ports, 'heartbeat'),
    appendLines: createProcedure(ports, 'appendLines'),
    keepLines: createProcedure(ports, 'keepLines'),
    fenceHolder: createProcedure(ports, 'fenceHolder'),
    recall: createProcedure(ports, 'recall'),
    pullConfiguration: createProcedure(ports, 'pullConfiguration'),
    borrow: createProcedure(ports, 'borrow'),
    writeReport: createProcedure(ports, 'writeReport'),
    exchangeNews: createProcedure(ports, 'exchangeNews'),
    keepStreams: createProcedure(ports, 'keepStreams'),
    findStream: createProcedure(ports, 'findStream'),
    shareHints: createProcedure(ports, 'shareHints'),
  });
}

/** Type of the router, for typed clients. */
export type MeshRouter = ReturnType<typeof createMeshRouter>;

function createProcedure<P extends RoutedProcedure>(ports: MeshRouterPorts, procedure: P) {
  const read = (value: unknown): ProcedureInput<P> => {
    const { message, unreadable } = readMessage(
      inputSchemas[procedure],
      inputEntries[procedure],
      value,
    );
    for (const entries of unreadable) ports.onUnreadable({ procedure, ...entries });
    return message;
  };
  return trpc.procedure.input(read).mutation(async ({ ctx, input }) => {
    if (!ctx.trusted) throw refusal('UNAUTHORIZED', 'the mesh secret does not match');
    checkRecipient(ports, procedure, ctx.to);
    const handler = ports.handler(procedure);
    if (!handler) throw refusal('PRECONDITION_FAILED', `${procedure} is not served here yet`);
    const result = await handler(input);
    if (result.isErr) throw refusal('PRECONDITION_FAILED', result.error);
    return result.value;
  });
}

/**
 * Procedures that may omit the recipient's incarnation: a heartbeat may be sent before the
 * incarnation is known, a loan request contains the lender's incarnation in its input, and forwarded
 * reports, gossip and records of streams are meant for any process.
 */
const RECIPIENT_OPTIONAL: ReadonlySet<ProcedureName> = new Set([
  'heartbeat',
  'borrow',
  'writeReport',
  'exchangeNews',
  'keepStreams',
  'findStream',
]);

/**
 * Refuses a call that is meant for another incarnation. After a restart the process at an address no
 * longer has the lines that its predecessor stored as a witness. If it answered "no lines stored",
 * the holder would be sealed without bills that its callers have already seen.
 */
function checkRecipient(
  ports: MeshRouterPorts,
  procedure: ProcedureName,
  to: string | undefined,
): void {
  if (to === undefined && RECIPIENT_OPTIONAL.has(procedure)) return;
  if (to !== undefined && ports.isSelf(to)) return;
  throw refusal('PRECONDITION_FAILED', `this process is not ${to ?? 'named in the call'}`);
}

function refusal(code: 'UNAUTHORIZED' | 'PRECONDITION_FAILED', message: string): TRPCError {
  return new TRPCError({ code, message });
}
