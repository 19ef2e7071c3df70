import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import {
  CONFIG_KEY,
  FIELD_NAMES,
  Header,
  READINESS_PATH,
  ServerPath,
  StorePath,
  WEIGHTS_PREFIX,
} from "./names.ts";

/** Source folder, also when the compiled tests run. */
const SOURCES = fileURLToPath(new URL("../../src/", import.meta.url));
/** Names that HTTP defines or that are common words, so other code may use them. */
const COMMON = new Set<string>([
  Header.authorization,
  Header.hold,
  Header.lastEventId,
  Header.model,
  Header.retryAfter,
  Header.workspace,
]);

function sources(): string[] {
  return readdirSync(SOURCES, { recursive: true, encoding: "utf8" })
    .filter((path) => path.endsWith(".ts") && !path.endsWith("_test.ts"))
    .filter((path) => !/^(platform|standin|wire\/gen)\//.test(path));
}

function wireNames(): string[] {
  return [
    ...Object.values(Header).filter((name) => !COMMON.has(name)),
    ...Object.values(StorePath),
    ...Object.values(ServerPath),
    ...FIELD_NAMES,
    READINESS_PATH,
    CONFIG_KEY,
    WEIGHTS_PREFIX,
  ];
}

/** Matches the whole name only, since longer names of this project may contain it. */
function pattern(name: string): RegExp {
  const isHeader = name.includes("-") && !name.includes("/");
  return new RegExp(`(?<![\\w-])${name}(?![\\w-])`, isHeader ? "i" : "");
}

test("no name of the platform is used outside its folder", () => {
  const paths = sources();
  assert.ok(paths.length > 100);
  const names = wireNames();
  const leaks = paths.flatMap((path) => {
    const text = readFileSync(join(SOURCES, path), "utf8");
    return names.filter((name) => pattern(name).test(text)).map((name) =>
      `${path}: ${name}`
    );
  });
  assert.deepEqual(leaks, []);
});
