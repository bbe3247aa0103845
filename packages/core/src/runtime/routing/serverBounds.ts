/** Bounds on the servers that may run a request. */

import type { ServerBounds } from '../../types/placement.js';
import { ANY_SOFTWARE } from './streamSoftware.js';

/** A request that any server may run. */
export const ANY_SERVER: ServerBounds = { software: ANY_SOFTWARE };
