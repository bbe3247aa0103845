/** Parts of prompts, as engines cache them. */

import type { Tokens } from './ids.js';

/** A part of a prompt. Requests with the same part can reuse state cached at a server. */
export interface PromptPart {
  id: string;
  tokens: Tokens;
}
