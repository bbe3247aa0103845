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
 * Sends changes to waiting watches. Each watch has a cursor, so what a fault held back is sent once
 * the fault is over.
 */
export class WatchHub {
  readonly #table: ObjectTable;
  readonly #isMute: () => boolean;
  readonly #watchers = new Set<Watcher>();
  readonly #unsubscribe: () => void;
  readonly #bookmarkTimer: NodeJS.Timeout;

  constructor(table: ObjectTable, bookmarkMs: number, isMute: () => boolean) {
    this.#table = table;
    this.#isMute = isMute;
    this.#unsubscribe = table.subscribe(() => {
      this.pump();
    });
    this.#bookmarkTimer = setInterval(() => {
      this.pump();
      this.#sendBookmarks();
    }, bookmarkMs);
  }

  get size(): number {
    return this.#watchers.size;
  }

  /** Takes a watch in; the caller has checked that its version is not too old. */
  add(res: ServerResponse, collection: string, from: string): void {
    res.writeHead(200, { 'content-type': 'application/json' });
    res.flushHeaders();
    const watcher = { res, collection, cursor: from };
    this.#watchers.add(watcher);
    res.on('close', () => this.#watchers.delete(watcher));
    this.pump();
  }

  /** Sends what is due. */
  pump(): void {
    if (this.#isMute()) return;
    for (const watcher of this.#watchers) this.#pumpOne(watcher);
  }

  /** Breaks all connections. */
  breakAll(): void {
    for (const { res } of this.#watchers) res.destroy();
    this.#watchers.clear();
  }

  close(): void {
    clearInterval(this.#bookmarkTimer);
    this.#unsubscribe();
    this.breakAll();
  }

  #pumpOne(watcher: Watcher): void {
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
    if (this.#isMute()) return;
    for (const watcher of this.#watchers) {
      watcher.cursor = this.#table.version;
      const metadata = { resourceVersion: watcher.cursor };
      watcher.res.write(`${JSON.stringify({ type: 'BOOKMARK', object: { metadata } })}\n`);
    }
  }
}
