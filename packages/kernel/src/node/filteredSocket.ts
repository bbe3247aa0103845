/** Sockets whose received bytes pass a filter before they are read. */

import { Socket } from 'node:net';

/** Removes bytes from what a connection receives. */
export abstract class ReadFilter {
  /** Returns the bytes to read, or why the connection has to be closed. */
  abstract filter(chunk: Buffer): Buffer | Error;
}

/**
 * A socket that reads what its filter lets pass; without a filter it behaves like any other.
 *
 * @example
 * socket.readFilter = new ResponseFilter();
 */
export class FilteredSocket extends Socket {
  readFilter: ReadFilter | undefined;

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (!this.readFilter || !Buffer.isBuffer(chunk)) return super.push(chunk, encoding);
    const passed = this.readFilter.filter(chunk);
    if (passed instanceof Error) {
      this.destroy(passed);
      return false;
    }
    // an empty chunk would end a read without data.
    return passed.length === 0 || super.push(passed);
  }
}
