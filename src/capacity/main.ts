/**
 * Regenerates the tables of docs/CAPACITY.md from docs/data/slopes.json.
 * `node dist/capacity/main.js [--check]`; `--check` writes nothing and fails if the page is stale.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { capacityLines, capacityTotals, createSlopeTable } from "./lines.ts";
import { isSamePage, renderPage } from "./page.ts";
import { parseSlopes } from "./slopes.ts";

const PAGE = "docs/CAPACITY.md";
const DATA = "docs/data/slopes.json";

const slopes = parseSlopes(readFileSync(DATA, "utf8")).unwrapOrElse(
  (failure) => {
    throw new TypeError(failure.message);
  },
);
const lines = capacityLines(createSlopeTable(slopes));
const page = readFileSync(PAGE, "utf8");
const rendered = renderPage(page, {
  slopes,
  lines,
  totals: capacityTotals(lines),
});
if (process.argv.includes("--check")) {
  if (!isSamePage(rendered, page)) {
    console.error(`${PAGE} is out of date with ${DATA}; run npm run capacity`);
    process.exitCode = 1;
  }
} else {
  writeFileSync(PAGE, rendered);
}
