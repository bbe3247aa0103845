/** `report`: renders result files of earlier runs as an HTML page with charts and as text tables. */

import { mkdir, readdir, writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { command, option, restPositionals, string } from 'cmd-ts';
import { readReport, renderHtml, renderText } from '../report/index.js';

const REPORT_DIRECTORY = 'reports';
const EXIT_USAGE = 2;

export const reportCommand = command({
  name: 'report',
  description: 'renders result files (default: reports/*.json) as one HTML page and as text',
  args: {
    files: restPositionals({ type: string, displayName: 'json' }),
    html: option({
      type: string,
      long: 'html',
      defaultValue: () => join(REPORT_DIRECTORY, 'report.html'),
    }),
  },
  handler: async ({ files, html }) => {
    const sources = files.length > 0 ? files : await findResults();
    if (sources.length === 0) {
      process.stderr.write(
        `no result files in ${REPORT_DIRECTORY}/; create one with demo --json FILE\n`,
      );
      return EXIT_USAGE;
    }
    const documents = await Promise.all(sources.map(readReport));
    await mkdir(dirname(html), { recursive: true });
    await writeFile(html, renderHtml(documents));
    process.stdout.write(`${documents.map(renderText).join('\n\n')}\n\nwritten: ${html}\n`);
    return 0;
  },
});

async function findResults(): Promise<string[]> {
  const names = await readdir(REPORT_DIRECTORY).catch(() => []);
  return names.filter((name) => name.endsWith('.json')).map((name) => join(REPORT_DIRECTORY, name));
}
