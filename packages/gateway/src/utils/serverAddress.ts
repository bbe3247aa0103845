/** Address of a server's URL. */

/** Port of a URL that names none. */
const DEFAULT_PORT = 80;

/**
 * Returns host and port; a URL object hides the default port of its scheme.
 *
 * @example
 * serverAddress('http://10.0.0.4:80').port; // 80
 */
export function serverAddress(url: string): { host: string; port: number } {
  const { hostname: host, port } = new URL(url);
  return { host, port: port === '' ? DEFAULT_PORT : Number(port) };
}
