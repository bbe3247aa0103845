/** Delays and timeouts for promises. Kernel processes use their own steps for waiting. */

/** Waits for `ms` milliseconds. */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits for a promise for at most `ms` milliseconds; resolves with `fallback` after that. */
export async function withTimeout<T>(promise: Promise<T>, ms: number, fallback: T): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<T>((resolve) => {
    timer = setTimeout(resolve, ms, fallback);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    // A pending timer would keep a stopped process alive.
    clearTimeout(timer);
  }
}
