// Generates docs/EVENTS.md, docs/METRICS.md and docs/SETTINGS.md from the catalogues in the code.
// Run with: node --conditions=@flamingocourse/source --import=tsx scripts/writeCatalogues.mjs
import { renderPages, renderText } from '../test/docs/renderPages.ts';
import prettier from 'prettier';
import { writeFileSync } from 'node:fs';

for (const page of renderPages()) {
  const file = new URL(`../docs/${page.file}`, import.meta.url);
  const options = await prettier.resolveConfig(file);
  const text = await prettier.format(renderText(page), { ...options, parser: 'markdown' });
  writeFileSync(file, text);
  console.log(`docs/${page.file}: ${page.rows.length} lines`);
}
