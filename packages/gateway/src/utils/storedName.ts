/** Names of objects in the store for things that others have named. */

import { createHash } from 'node:crypto';

/** Longest name that is used as it is, in characters of a URL. */
const MAX_ENCODED_LENGTH = 1_024;

/**
 * Returns the name of the object for something with a name from outside: the name itself where a path of a URL can
 * carry it, and its digest otherwise, as for `..`, an empty name and half a surrogate pair.
 *
 * @example
 * storedName('llm'); // 'llm'
 * storedName('..'); // 'name-sha256-5ec1…'
 */
export function storedName(name: string): string {
  const isStep = name === '' || name === '.' || name === '..';
  const isPathPart = !isStep && !/\p{Surrogate}/u.test(name);
  if (isPathPart && encodeURIComponent(name).length <= MAX_ENCODED_LENGTH) return name;
  return `name-sha256-${createHash('sha256').update(JSON.stringify(name)).digest('hex')}`;
}
