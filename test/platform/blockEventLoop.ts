/** Blocks the event loop for a time, like a process that gets no CPU time. */
export function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}
