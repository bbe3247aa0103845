/**
 * Types for the part of js-csp that the channel module uses; the library has no type declarations.
 */
declare module 'js-csp' {
  interface RawChannel {
    close(): void;
    isClosed(): boolean;
  }
  interface AltResult {
    value: unknown;
    channel: RawChannel;
  }
  const csp: {
    CLOSED: null;
    NO_VALUE: unknown;
    chan(buffer?: unknown): RawChannel;
    promiseChan(): RawChannel;
    timeout(ms: number): RawChannel;
    go(body: () => Generator): RawChannel;
    put(channel: RawChannel, value: unknown): unknown;
    take(channel: RawChannel): unknown;
    alts(operations: RawChannel[], options?: { priority?: boolean }): unknown;
    offer(channel: RawChannel, value: unknown): boolean;
    putAsync(channel: RawChannel, value: unknown, callback?: (open: boolean) => void): void;
    takeAsync(channel: RawChannel, callback: (value: unknown) => void): void;
    buffers: {
      fixed(size: number): unknown;
      dropping(size: number): unknown;
      sliding(size: number): unknown;
    };
  };
  export type { RawChannel, AltResult };
  export default csp;
}
