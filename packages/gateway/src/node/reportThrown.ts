/** Keeps a bug in a listener from ending what calls it. */

import type { Kernel } from '@flamingocourse/kernel';

/**
 * Returns a listener that reports what another one throws as a failure of a service.
 *
 * @example
 * store.watch(servers, { onEvent: reportThrown(kernel, 'directory', (event) => apply(event)) });
 */
export function reportThrown<T>(
  kernel: Kernel,
  service: string,
  listener: (event: T) => void,
): (event: T) => void {
  return (event) => {
    try {
      listener(event);
    } catch (err) {
      kernel.reportFailure(err, service);
    }
  };
}
