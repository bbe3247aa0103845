/** Errors of opening a tunnel. */

import type { TunnelRefusal } from '../types/tunnels.js';
import { LayerError } from '@flamingocourse/kernel';

/**
 * `refused`: the peer answered that it opens no tunnel. `unreachable`: the connection to the peer
 * failed. `timeout`: the peer didn't answer in time. In no case were bytes sent to the server.
 */
export type TunnelErrorCode = 'refused' | 'unreachable' | 'timeout';

/** Error of opening a tunnel. */
export class TunnelError extends LayerError<TunnelErrorCode> {
  override readonly layer = 'mesh';
  /** Why the peer refused; undefined for other errors. */
  readonly refusal: TunnelRefusal | undefined;

  constructor(
    code: TunnelErrorCode,
    message: string,
    { refusal, cause }: { refusal?: TunnelRefusal; cause?: unknown } = {},
  ) {
    super(code, message, { cause });
    this.refusal = refusal;
  }
}
