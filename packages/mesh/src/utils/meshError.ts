/** Errors of calls between routers. */

import { LayerError } from '@flamingocourse/kernel';

/**
 * `unreachable`, `timeout`: no usable answer arrived; the call may have taken effect. `refused`:
 * the call had no effect and will have none. `invalid`: the input was not accepted; the call had no
 * effect.
 */
export type MeshErrorCode = 'unreachable' | 'timeout' | 'refused' | 'invalid';

/** Error of a call to a peer. */
export class MeshError extends LayerError<MeshErrorCode> {
  override readonly layer = 'mesh';
}
