/** Open watches of one entrance. */

import type { ObjectTable } from '@flamingocourse/store';
import type { ServerResponse } from 'node:http';
import { objectJson } from './httpReplies.js';

interface Watcher {
  res: ServerResponse;
  collection: string;
  /** Last version sent. */
  cursor: string;
}

/**
 * Sends changes to open watches. Each watch has a cursor, so that changes which a fault delayed are
 * sent when the fault ends.
 */
export class WatchHub {
  readonly #table: ObjectTable;
  readonly #isSilent: () => boolean;
  readonly #watchers = new Set<Watcher>();
  readonly #unsubscribe: () => void;
  readonly #bookmarkTimer: NodeJS.Timeout;

  constructor(table: ObjectTable, bookmarkMs: number, isMute: () => boolean) {
    this.#table = table;
    this.#isSilent = isMute;
    this.#unsubscribe = table.subscribe(() => {
      this.sendPending();
    });
    this.#bookmarkTimer = setInterval(() => {
      this.sendPending();
      this.#sendBookmarks();
    }, bookmarkMs);
  }

  get size(): number {
    return this.#watchers.size;
  }

  /** Adds a watch; the caller has checked that the history still covers its version. */
  add(res: ServerResponse, collection: string, from: string): void {
    res.writeHead(200, { 'content-type': 'application/json' });
    res.flushHeaders();
    const watcher = { res, collection, cursor: from };
    this.#watchers.add(watcher);
    res.on('close', () => this.#watchers.delete(watcher));
    this.sendPending();
  }

  /** Sends all changes that the watches have not received yet. */
  sendPending(): void {
    if (this.#isSilent()) return;
    for (const watcher of this.#watchers) this.#sendChanges(watcher);
  }

  /** Destroys the connections of all watches. */
  disconnectAll(): void {
    for (const { res } of this.#watchers) res.destroy();
    this.#watchers.clear();
  }

  close(): void {
    clearInterval(this.#bookmarkTimer);
    this.#unsubscribe();
    this.disconnectAll();
  }

  #sendChanges(watcher: Watcher): void {
    const changes = this.#table.changesSince(watcher.collection, watcher.cursor);
    if (changes.isErr) {
      watcher.res.end();
      return;
    }
    for (const { type, object } of changes.value) {
      watcher.cursor = object.version;
      watcher.res.write(`{"type":"${type}","object":${objectJson(object)}}\n`);
    }
  }

  #sendBookmarks(): void {
    if (this.#isSilent()) return;
    for (const watcher of this.#watchers) {
      watcher.cursor = this.#table.version;
      const metadata = { resourceVersion: watcher.cursor };
      watcher.res.write(`${JSON.stringify({ type: 'BOOKMARK', object: { metadata } })}\n`);
    }
  }
}
