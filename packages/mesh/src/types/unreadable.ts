import type { UnreadableEntries } from '../runtime/readMessage.js';
import type { ProcedureName } from './procedures.js';

/** Entries of a message of a peer that could not be read; the others were. */
export interface UnreadableMessagePart extends UnreadableEntries {
  procedure: ProcedureName;
  /** URL of the peer that answered; absent for an input. */
  peer?: string;
}

/** Called for each message of which entries could not be read. */
export type UnreadableListener = (part: UnreadableMessagePart) => void;
