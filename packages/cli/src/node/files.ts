/** Reads and writes the files named on the command line. */

import { readFile, readdir, stat, writeFile } from 'node:fs/promises';
import { CliError } from '../utils/cliError.js';
import { Result } from 'true-myth';
import type { SourceFile } from '@flamingocourse/core';
import { describeError } from '@flamingocourse/kernel';
import { join } from 'node:path';

/** Reads a text file. */
export async function readText(file: string): Promise<Result<string, CliError>> {
  try {
    return Result.ok(await readFile(file, 'utf8'));
  } catch (err) {
    const message = `${file} cannot be read. Check the path. ${describeError(err)}`;
    return Result.err(new CliError('usage', message, { cause: err }));
  }
}

/** Writes a text file. */
export async function writeText(file: string, text: string): Promise<Result<'written', CliError>> {
  try {
    await writeFile(file, text);
    return Result.ok('written');
  } catch (err) {
    const message = `${file} cannot be written. Check the path. ${describeError(err)}`;
    return Result.err(new CliError('usage', message, { cause: err }));
  }
}

/** Reads the files, and all `.jsonc` and `.json` files directly in the directories. */
export async function readSources(
  paths: readonly string[],
): Promise<Result<SourceFile[], CliError>> {
  const sources: SourceFile[] = [];
  if (paths.length === 0) {
    return Result.err(new CliError('usage', 'No file is given. Name files or a directory.'));
  }
  for (const path of paths) {
    for (const file of await expandPath(path)) {
      const text = await readText(file);
      if (text.isErr) return Result.err(text.error);
      sources.push({ file, text: text.value });
    }
  }
  return Result.ok(sources);
}

async function expandPath(path: string): Promise<string[]> {
  const found = await stat(path).catch(() => undefined);
  if (!found?.isDirectory()) return [path];
  const names = await readdir(path);
  return names
    .filter((name) => /\.jsonc?$/.test(name))
    .sort()
    .map((name) => join(path, name));
}
