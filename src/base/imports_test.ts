import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

/** Root of the repository, also for tests that run from the build directory. */
const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const SOURCES = join(ROOT, "src");
const MAX_LINES = 350;
const IMPORT = /(?:from|import)\s*\(?\s*"(\.[^"]+)"/g;

/** Returns the imports of each module, type imports included, as paths relative to `src`. */
function readGraph(): Map<string, string[]> {
  const paths = readdirSync(SOURCES, { recursive: true, encoding: "utf8" })
    .filter((path) => path.endsWith(".ts"));
  return new Map(paths.map((path) => {
    const text = readFileSync(join(SOURCES, path), "utf8");
    const imports = [...text.matchAll(IMPORT)].map(([, target]) =>
      normalize(join(dirname(path), target!))
    );
    return [path, imports];
  }));
}

/** Returns an import cycle, if there is one. */
function findCycle(graph: Map<string, string[]>): string[] | undefined {
  const done = new Set<string>();
  const stack: string[] = [];
  const visit = (path: string): string[] | undefined => {
    const start = stack.indexOf(path);
    if (start >= 0) return [...stack.slice(start), path];
    if (done.has(path)) return undefined;
    stack.push(path);
    for (const target of graph.get(path) ?? []) {
      const cycle = visit(target);
      if (cycle) return cycle;
    }
    stack.pop();
    done.add(path);
    return undefined;
  };
  for (const path of graph.keys()) {
    const cycle = visit(path);
    if (cycle) return cycle;
  }
  return undefined;
}

/** Returns the texts that may refer to a program by name (sources, pages and scripts) by path. */
function readTexts(): [string, string][] {
  const sources = readdirSync(SOURCES, { recursive: true, encoding: "utf8" })
    .filter((path) => path.endsWith(".ts"))
    .map((path) => join("src", path));
  const pages = readdirSync(join(ROOT, "docs"), { encoding: "utf8" })
    .filter((path) => path.endsWith(".md"))
    .map((path) => join("docs", path));
  const scripts = ["package.json", "README.md", "deploy/build.mjs"];
  return [...sources, ...pages, ...scripts].map((path) => [
    path,
    readFileSync(join(ROOT, path), "utf8"),
  ]);
}

test("modules have no import cycles", () => {
  assert.deepEqual(findCycle(readGraph()), undefined);
});

test("no module is longer than 350 lines", () => {
  const long = [...readGraph().keys()].filter((path) => {
    if (path.endsWith("_test.ts") || path.startsWith("wire/gen/")) return false;
    const lines = readFileSync(join(SOURCES, path), "utf8").split("\n").length;
    return lines - 1 > MAX_LINES;
  });
  assert.deepEqual(long, []);
});

test("every module is imported or referred to as a program", () => {
  const graph = readGraph();
  assert.ok(graph.size > 100);
  const imported = new Set([...graph.values()].flat());
  const texts = readTexts();
  const isNamed = (path: string) => {
    const stem = path.replace(/\.ts$/, "");
    const names = [stem, `./${stem.split("/").at(-1)}`];
    return texts.some(([from, text]) =>
      from !== join("src", path) && names.some((name) => text.includes(name))
    );
  };
  const unused = [...graph.keys()].filter((path) =>
    !path.endsWith("_test.ts") && !imported.has(path) && !isNamed(path)
  );
  assert.deepEqual(unused, []);
});
