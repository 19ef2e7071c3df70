import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { updatePage } from "./settings_page.ts";

test("docs/OPERATING.md matches the settings tables", () => {
  const path = new URL("../../docs/OPERATING.md", import.meta.url);
  const page = readFileSync(path, "utf8");
  assert.equal(updatePage(page), page, "Run npm run docs:settings");
});
