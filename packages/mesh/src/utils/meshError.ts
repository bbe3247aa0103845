/** Errors of the mesh layer. */

import { LayerError } from '@flamingocourse/kernel';

/**
 * `unreachable`, `timeout`: no usable answer came; the peer may have done it. `refused`: the peer did
 * not do it and will not. `invalid`: the input was not understood; nothing was done.
 */
export type MeshErrorCode = 'unreachable' | 'timeout' | 'refused' | 'invalid';

/** Fault of a call to a peer. */
export class MeshError extends LayerError<MeshErrorCode> {
  override readonly layer = 'mesh';
}
