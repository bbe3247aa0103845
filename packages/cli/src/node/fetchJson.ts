/** Reads small JSON responses of routers. */

import type { FetchJson } from '../runtime/status.js';
import { get } from 'node:http';

const timeoutMs = 2_000;
const maxBodyBytes = 262_144;

/**
 * Sends a GET request. Resolves to `undefined` when the request fails, times out, or the response
 * is larger than 256 KiB. A body that is not JSON is returned as text.
 */
export const fetchJson: FetchJson = (url) =>
  new Promise((resolve) => {
    const req = get(url, { timeout: timeoutMs, agent: false }, (res) => {
      const chunks: Buffer[] = [];
      let length = 0;
      res.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > maxBodyBytes) req.destroy();
        else chunks.push(chunk);
      });
      res.on('end', () => {
        const body = parseBody(Buffer.concat(chunks).toString('utf8'));
        resolve({ status: res.statusCode ?? 0, body });
      });
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => {
      resolve(undefined);
    });
    req.on('close', () => {
      resolve(undefined);
    });
  });

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
