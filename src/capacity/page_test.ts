import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { capacityLines, capacityTotals, createSlopeTable } from "./lines.ts";
import { isSamePage, renderPage } from "./page.ts";
import { fitSlope, parseSlopes } from "./slopes.ts";

const ROOT = new URL("../../", import.meta.url);
const DESCRIPTION = {
  name: "n",
  what: "w",
  unit: "us",
  per: "ask",
  command: "c",
};

test("capacity page matches the recorded slopes", () => {
  const page = readFileSync(new URL("docs/CAPACITY.md", ROOT), "utf8");
  const json = readFileSync(new URL("docs/data/slopes.json", ROOT), "utf8");
  const slopes = parseSlopes(json).unwrapOr([]);
  const lines = capacityLines(createSlopeTable(slopes));
  const current = renderPage(page, {
    slopes,
    lines,
    totals: capacityTotals(lines),
  });
  assert.ok(isSamePage(current, page), "Run npm run capacity");
});

test("fitted slope of an exact line is the median, with its spread", () => {
  const run = (slope: number) =>
    [1, 2, 3].map((x) => ({ x, y: 3 + slope * x }));
  const fit = fitSlope(DESCRIPTION, [run(5), run(2), run(9)]);
  assert.equal(fit.slope, 5);
  assert.equal(fit.intercept, 3);
  assert.deepEqual(fit.spread, [2, 9]);
});

test("error for an unknown slope contains its name", () => {
  const table = createSlopeTable([]);
  assert.throws(() => table.cost("ask_bytes", 1), /ask_bytes/);
});
