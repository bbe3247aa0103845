/** Headers of calls between routers. */

/** Incarnation that a call is meant for, percent-encoded. */
export const incarnationHeader = 'flamingocourse-incarnation';

/** Shared secret of the deployment. */
export const secretHeader = 'flamingocourse-mesh-secret';
