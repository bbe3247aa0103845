/** Headers of calls between routers. */

/** Incarnation that a call is meant for, percent-encoded. */
export const incarnationHeader = 'flamingocourse-incarnation';

/** Secret that all routers of the deployment share. */
export const secretHeader = 'flamingocourse-mesh-secret';
