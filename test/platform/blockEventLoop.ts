/** Blocks the event loop for a time, like a process that gets no CPU time. */
export function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

/** Makes each iteration of the event loop last this long, until the returned function is called. */
export function slowEventLoop(iterationMs: number): () => void {
  let isSlow = true;
  const block = (): void => {
    if (!isSlow) return;
    blockEventLoop(iterationMs);
    setImmediate(block);
  };
  block();
  return () => {
    isSlow = false;
  };
}
