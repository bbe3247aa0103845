/** Which texts HTTP carries unchanged as the value of a header. */

/** Longest such text in characters, of one byte each: what RFC 9110, 4.1, asks of receivers for URIs. */
export const MAX_HEADER_TEXT_LENGTH = 8_000;

/** Tabs, spaces and visible characters of ISO 8859-1; no white space at the ends, which receivers remove. */
const HEADER_TEXT = /^(?:[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?$/;

/**
 * Whether a text arrives as it is when it is sent as the value of a header.
 *
 * @example
 * isHeaderText('café 7'); // true
 * isHeaderText('i-7f\ufffd'); // false: the character has no place in ISO 8859-1
 */
export function isHeaderText(text: string): boolean {
  return text.length <= MAX_HEADER_TEXT_LENGTH && HEADER_TEXT.test(text);
}
