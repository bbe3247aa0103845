/** Maximum number of logged characters of a text from outside. */
const MAX_LOGGED_LENGTH = 200;

/** Returns the beginning of a text that others have written, for a line of the log. */
export function loggedText(text: string): string {
  return text.slice(0, MAX_LOGGED_LENGTH);
}
