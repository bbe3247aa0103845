/** Fields of a chat-completions request that the engine stand-in supports. */

import { z } from 'zod';

const messageSchema = z.object({ role: z.string(), content: z.string() });

/** Schema of the request body; unknown fields are ignored, as real engines do. */
export const chatRequestSchema = z.object({
  model: z.string().default('stand-in'),
  messages: z.array(messageSchema).min(1),
  max_tokens: z.number().int().positive().default(512),
  seed: z.number().int().default(0),
  stream: z.boolean().default(false),
  stream_options: z.object({ include_usage: z.boolean().default(false) }).optional(),
  priority: z.number().int().default(0),
  continue_final_message: z.boolean().default(false),
});

export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** Token usage of a request, in the format of the chat-completions API. */
export interface ChatUsage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
}
