/** Renders the reference pages from the catalogues; scripts/writeCatalogues.mjs writes them. */

import { eventCatalogue, metricCatalogue } from '@flamingocourse/kernel';
import type { EventDefinition, MetricDefinition } from '@flamingocourse/kernel';
import { listSettings } from '@flamingocourse/router';

/** A page under docs/ with a table that is generated from a catalogue. */
export interface ReferencePage {
  file: string;
  /** Text above the table. */
  intro: string;
  head: string[];
  rows: string[][];
}

/** All generated pages. */
export function renderPages(): ReferencePage[] {
  return [renderEvents(), renderMetrics(), renderSettings()];
}

/** Text of a page, before the formatter aligns its table. */
export function renderText({ intro, head, rows }: ReferencePage): string {
  const line = head.map(() => '---');
  return [intro, '', ...[head, line, ...rows].map(renderRow), ''].join('\n');
}

/** One line of a table. */
export function renderRow(cells: string[]): string {
  return `| ${cells.map((cell) => cell.replaceAll('|', '\\|')).join(' | ')} |`;
}

function renderEvents(): ReferencePage {
  const events: [string, EventDefinition][] = Object.entries(eventCatalogue);
  const rows = events
    .sort(([, left], [, right]) => left.number - right.number)
    .map(([name, { number, level, text, action }]) => {
      return [String(number), `\`${name}\``, level, text, action ?? ''];
    });
  const intro = `# Events

Each line of the log is a JSON object with the number (\`event\`) and the name (\`name\`) of an event.
Numbers are never reused. Warnings and errors say what an operator can do.

Written by \`node --conditions=@flamingocourse/source --import=tsx scripts/writeCatalogues.mjs\`.`;
  return { file: 'EVENTS.md', intro, head: ['number', 'name', 'level', 'text', 'action'], rows };
}

function renderMetrics(): ReferencePage {
  const metrics: [string, MetricDefinition][] = Object.entries(metricCatalogue);
  const rows = metrics
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([name, { type, unit, text }]) => [`\`flamingocourse.${name}\``, type, unit, text]);
  const intro = `# Metrics

Sent by StatsD to the agent of the setting \`statsd\`; dropped where none is set.

Written by \`node --conditions=@flamingocourse/source --import=tsx scripts/writeCatalogues.mjs\`.`;
  return { file: 'METRICS.md', intro, head: ['name', 'type', 'unit', 'text'], rows };
}

function renderSettings(): ReferencePage {
  const rows = listSettings().map(({ path, defaultJson, text }) => {
    return [`\`${path}\``, defaultJson === undefined ? '' : `\`${defaultJson}\``, text];
  });
  const intro = `# Settings of a router

A settings file is JSON with comments. A router is started with
\`flamingocourse-router FILE\`; \`--check\` checks the file and ends, \`--print-settings\`
prints the settings with all defaults and without the secret. A fault names file, line, column and what to change.

The least that has to be set:

\`\`\`jsonc
{
  // unique in its data centre
  "instance": "router-1",
  "dataCentre": "dc-a",
  // the same at all routers of the deployment
  "fleetSecret": "put-a-random-text-here",
  "platform": { "url": "http://10.0.0.2:9000" },
}
\`\`\`

Settings without a default have to be set, except \`entry.publicUrl\`, \`mesh.publicUrl\` and
\`statsd\`. Times are in milliseconds.

Written by \`node --conditions=@flamingocourse/source --import=tsx scripts/writeCatalogues.mjs\`.`;
  return { file: 'SETTINGS.md', intro, head: ['setting', 'default', 'what to write'], rows };
}
