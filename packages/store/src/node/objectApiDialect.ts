/**
 * The Object API of docs/design/protocols.md. A watch is a stream with one JSON line per change.
 */

import type { HttpAnswer } from '@flamingocourse/kernel';
import type { Result } from 'true-myth';
import type {
  ListPage,
  StoreRequest,
  WatchCall,
  WatchEndReason,
  WireChange,
  WireObject,
} from '../runtime/storeDialect.js';
import type { CallKind } from '../types/objects.js';
import type { PlatformError } from '../utils/platformError.js';
import { StoreDialect } from '../runtime/storeDialect.js';
import { streamLines } from './watchConnection.js';
import {
  parseJson,
  statusToError,
  toWireObject,
  wireListSchema,
  wireObjectSchema,
  wireWatchLineSchema,
} from './wireFormat.js';

const apiPath = '/apis/flamingocourse.dev/v1';
const maxLineBytes = 4 * 1024 * 1024;

/** Default dialect of the client. */
export class ObjectApiDialect extends StoreDialect {
  override get(collection: string, name: string): StoreRequest {
    return { method: 'GET', path: objectPath(collection, name) };
  }

  override probe(): StoreRequest {
    return this.get('declarations', 'probe');
  }

  override list(collection: string): StoreRequest {
    return { method: 'GET', path: collectionPath(collection) };
  }

  override create(collection: string, name: string, value: unknown): StoreRequest {
    const body = JSON.stringify({ metadata: { name }, value });
    return { method: 'POST', path: collectionPath(collection), body };
  }

  override update(collection: string, name: string, version: string, value: unknown): StoreRequest {
    const body = JSON.stringify({ metadata: { name, resourceVersion: version }, value });
    return { method: 'PUT', path: objectPath(collection, name), body };
  }

  override remove(collection: string, name: string, version: string): StoreRequest {
    const path = `${objectPath(collection, name)}?resourceVersion=${encodeURIComponent(version)}`;
    return { method: 'DELETE', path };
  }

  override parseObject(answer: HttpAnswer): Result<WireObject, PlatformError> {
    return parseJson(answer.body, wireObjectSchema).map(toWireObject);
  }

  override parseList(answer: HttpAnswer): Result<ListPage, PlatformError> {
    return parseJson(answer.body, wireListSchema).map(({ metadata, items }) => ({
      version: metadata.resourceVersion,
      items: items.map(toWireObject),
    }));
  }

  override toError(kind: CallKind, answer: HttpAnswer): PlatformError {
    return statusToError(kind, answer);
  }

  override follow(call: WatchCall): Promise<WatchEndReason> {
    const url = new URL(collectionPath(call.collection), call.url);
    url.searchParams.set('watch', 'true');
    url.searchParams.set('resourceVersion', call.version);
    const { agent, signal, idleMs } = call;
    return streamLines({
      url,
      agent,
      signal,
      idleMs,
      maxLineBytes,
      onLine: (line) => {
        handleLine(line, call);
      },
    });
  }
}

function handleLine(text: string, call: WatchCall): void {
  const line = parseJson(text, wireWatchLineSchema);
  if (line.isErr) return;
  const { type, object } = line.value;
  const { name, resourceVersion: version } = object.metadata;
  const changes: WireChange[] = [];
  if (type !== 'BOOKMARK' && name !== undefined) {
    changes.push(
      type === 'DELETED'
        ? { type: 'removed', name }
        : { type: 'changed', object: { name, version, value: object.value } },
    );
  }
  call.onChanges(changes, version);
}

function collectionPath(collection: string): string {
  return `${apiPath}/${collection}`;
}

function objectPath(collection: string, name: string): string {
  return `${collectionPath(collection)}/${encodeURIComponent(name)}`;
}
