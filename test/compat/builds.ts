/** The two builds that run in one fleet. */

import { existsSync } from 'node:fs';
import { join } from 'node:path';

/** A built checkout of one version. */
export interface Build {
  /** Name in the report. */
  label: 'this' | 'other';
  /** Path of the bundle of the pass-through entry. */
  bundle: string;
  /** Path of the router binary. */
  router: string;
}

/** A checkout is missing or not built; the message gives the command to run. */
export class BuildMissingError extends Error {
  override readonly name = 'BuildMissingError';
}

/**
 * Finds the binaries of a checkout.
 *
 * @example
 * const other = findBuild('other', '../previous');
 */
export function findBuild(label: Build['label'], directory: string): Build {
  const bundle = findBundle(directory);
  const router = join(directory, 'packages/router/bin/flamingocourseRouter.mjs');
  const compiled = join(directory, 'packages/router/dist/node/main.js');
  for (const file of [bundle, router, compiled]) {
    if (existsSync(file)) continue;
    throw new BuildMissingError(
      `${file} does not exist; run "npm ci && npm run build && node scripts/bundle.mjs" in ${directory}`,
    );
  }
  return { label, bundle, router };
}

/** Earlier builds have their bundle under another name. */
function findBundle(directory: string): string {
  const earlier = join(directory, 'target/flamingocourse.mjs');
  return existsSync(earlier) ? earlier : join(directory, 'target/flamingocourse.cjs');
}
