/**
 * Decodes a part of a path or of a header that is encoded like one; undefined if it is malformed.
 *
 * @example
 * decodePathPart('a%20b'); // 'a b'
 * decodePathPart('%zz'); // undefined
 */
export function decodePathPart(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
