// Starts the bundle with the code that the build compiled, so that a restart need not compile it again.
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const process = require("node:process");
const { Script } = require("node:vm");

const BUNDLE = join(__dirname, "../target/router.cjs");
const CACHE = join(__dirname, "../target/router.cache");
/** Asks to run for so many ms, then to keep what was compiled, and to end. */
const WRITE_CACHE = "--write-cache-after-ms";

const [option, afterMs] = process.argv.slice(2);
const source = readFileSync(BUNDLE, "utf8");
const script = new Script(
  `(function (require, module, exports) {${source}\n})`,
  // Left aside if another version of Node, or one with other flags, made it.
  { filename: BUNDLE, cachedData: readCache() },
);
if (script.cachedDataRejected) {
  console.log(JSON.stringify({ event: "compiled_code_rejected" }));
}
script.runInThisContext()(require, module, exports);
if (option === WRITE_CACHE) setTimeout(writeCache, Number(afterMs));

function readCache() {
  try {
    return readFileSync(CACHE);
  } catch {
    return undefined;
  }
}

function writeCache() {
  writeFileSync(CACHE, script.createCachedData());
  process.exit(0);
}
