/** Entry of a process that opens tunnels to the server at the URL of its first argument, as `s1`. */

import { TunnelWorld } from './tunnelWorld.js';

const world = await TunnelWorld.start({ after: () => undefined });
world.list('s1', process.argv[2] ?? '');
process.send?.(world.mesh.url);
