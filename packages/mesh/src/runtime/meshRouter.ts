/** The tRPC router of a router's mesh listener: mutations only, because batched queries go into URLs. */

import type { MeshHandler, ProcedureName } from '../types/procedures.js';
import { initTRPC, TRPCError } from '@trpc/server';
import { inputSchemas } from './schemas.js';

/** What is known of a call before its procedure runs. */
export interface MeshCallContext {
  /** Whether the shared secret matched, or none is set. */
  trusted: boolean;
  /** Incarnation that the call is meant for. */
  to: string | undefined;
}

/** What the procedures need from their server. */
export interface MeshRouterPorts {
  /** Finds the handler of a procedure. */
  handler<P extends ProcedureName>(procedure: P): MeshHandler<P> | undefined;
  /** Whether an incarnation is a life of this very process. */
  isSelf(incarnation: string): boolean;
}

const trpc = initTRPC.context<MeshCallContext>().create({ isDev: false });

/** Builds the router over handlers that may be registered later. */
export function createMeshRouter(ports: MeshRouterPorts) {
  return trpc.router({
    heartbeat: createProcedure(ports, 'heartbeat'),
    appendLines: createProcedure(ports, 'appendLines'),
    keepLines: createProcedure(ports, 'keepLines'),
    fenceHolder: createProcedure(ports, 'fenceHolder'),
    recall: createProcedure(ports, 'recall'),
    pullConfiguration: createProcedure(ports, 'pullConfiguration'),
    borrow: createProcedure(ports, 'borrow'),
    exchangeNews: createProcedure(ports, 'exchangeNews'),
    shareHints: createProcedure(ports, 'shareHints'),
  });
}

/** Type of the router, for typed clients. */
export type MeshRouter = ReturnType<typeof createMeshRouter>;

function createProcedure<P extends ProcedureName>(ports: MeshRouterPorts, procedure: P) {
  return trpc.procedure.input(inputSchemas[procedure]).mutation(async ({ ctx, input }) => {
    if (!ctx.trusted) throw refusal('UNAUTHORIZED', 'the mesh secret does not match');
    checkAddressee(ports, procedure, ctx.to);
    const handler = ports.handler(procedure);
    if (!handler) throw refusal('PRECONDITION_FAILED', `${procedure} is not served here yet`);
    const result = await handler(input);
    if (result.isErr) throw refusal('PRECONDITION_FAILED', result.error);
    return result.value;
  });
}

/** Procedures that need no addressee: a heartbeat teaches incarnations, a loan request names its lender's, news are for all. */
const UNADDRESSED: ReadonlySet<ProcedureName> = new Set(['heartbeat', 'borrow', 'exchangeNews']);

/**
 * A process that was replaced under the same address has none of its predecessor's memory. Were it
 * to answer "I kept no lines" in the predecessor's place, a holder would be sealed without bills
 * that its callers have seen. So a call names the incarnation it is meant for; only a heartbeat,
 * which is how incarnations are learned, may leave it out.
 */
function checkAddressee(
  ports: MeshRouterPorts,
  procedure: ProcedureName,
  to: string | undefined,
): void {
  if (to === undefined && UNADDRESSED.has(procedure)) return;
  if (to !== undefined && ports.isSelf(to)) return;
  throw refusal('PRECONDITION_FAILED', `this process is not ${to ?? 'named in the call'}`);
}

function refusal(code: 'UNAUTHORIZED' | 'PRECONDITION_FAILED', message: string): TRPCError {
  return new TRPCError({ code, message });
}
