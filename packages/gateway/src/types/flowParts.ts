/** What all requests of the process use. */

import type { AnswerEndCheck } from '../node/answerEndCheck.js';
import type { BackendLanes } from '../node/backendLanes.js';
import type { PrepaidService } from '../node/prepaidService.js';
import type { RoomService } from '../node/roomService.js';
import type { ServerAgent } from '../node/serverAgent.js';
import type { ServerDirectory } from '../node/serverDirectory.js';
import type { ServerProcesses } from '../node/serverProcesses.js';
import type { StreamOrigins } from '../node/streamOrigins.js';
import type { GatewayContext } from './context.js';

/** Services shared by all requests of the process. */
export interface FlowParts {
  context: GatewayContext;
  lanes: BackendLanes;
  prepaid: PrepaidService;
  directory: ServerDirectory;
  agent: ServerAgent;
  processes: ServerProcesses;
  answerEnds: AnswerEndCheck;
  streams: StreamOrigins;
  room: RoomService;
}
