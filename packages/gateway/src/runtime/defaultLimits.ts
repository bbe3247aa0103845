/** Limits on clients that follow from the machine of an instance. */

const MIB = 1024 * 1024;
/** Connections of callers that the heap of the process bears while each has a request in progress. */
const MAX_ENTRY_CONNECTIONS = 1_000;
/** Descriptors for files, the store, peers and servers that are asked apart from requests. */
const OTHER_DESCRIPTORS = 300;
/** A connection of a caller, and one to the server that works for it. */
const DESCRIPTORS_PER_CALLER = 2;
/** Bytes held for clients on the smallest machine and on large ones. */
const MIN_HELD_BYTES = 16 * MIB;
const MAX_HELD_BYTES = 64 * MIB;
/** Memory in megabytes that a busy process takes beside what it holds for clients. */
const OTHER_MEGABYTES = 130;
/** What was held takes memory until the next garbage collection. */
const MEMORY_PER_HELD = 2.5;

/** What a machine gives to the process. */
export interface MachineSize {
  memoryMb: number;
  /** File descriptors that the process may have. */
  descriptors: number;
}

/**
 * Returns how many connections of callers an instance takes.
 *
 * @param others connections of its other listeners.
 * @example
 * entryConnections({ memoryMb: 350, descriptors: 4_100 }, 560); // 1000
 */
export function entryConnections({ descriptors }: MachineSize, others: number): number {
  const left = (descriptors - OTHER_DESCRIPTORS - others) / DESCRIPTORS_PER_CALLER;
  return Math.max(1, Math.min(MAX_ENTRY_CONNECTIONS, Math.floor(left)));
}

/**
 * Returns how many bytes an instance holds for all clients.
 *
 * @example
 * heldBytes({ memoryMb: 160, descriptors: 4_100 }); // 16 MiB
 */
export function heldBytes({ memoryMb }: MachineSize): number {
  const left = ((memoryMb - OTHER_MEGABYTES) * MIB) / MEMORY_PER_HELD;
  return Math.max(MIN_HELD_BYTES, Math.min(MAX_HELD_BYTES, Math.floor(left)));
}
