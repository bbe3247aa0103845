/** Keeps the process from everything else, as one that gets no processor time. */
export function holdUp(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}
