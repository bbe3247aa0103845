/** Waits outside of processes. */

/** Waits for `ms` milliseconds. */
export function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits for a promise, but no longer than `ms`; gives `late` after that. */
export async function within<T>(promise: Promise<T>, ms: number, late: T): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<T>((resolve) => {
    timer = setTimeout(resolve, ms, late);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    // a timer left behind would keep a stopped process alive.
    clearTimeout(timer);
  }
}
