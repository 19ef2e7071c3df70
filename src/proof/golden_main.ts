/** `npm run golden`: compares sessions with their golden files; `--update` rewrites the files. */
import assert from "node:assert/strict";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { GOLDEN_DIRECTORY, SESSIONS } from "./_golden.ts";

const isUpdate = process.argv.includes("--update");
mkdirSync(GOLDEN_DIRECTORY, { recursive: true });
let changed = 0;
for (const [name, record] of Object.entries(SESSIONS)) {
  const file = new URL(`${name}.txt`, GOLDEN_DIRECTORY);
  const text = await record();
  const difference = describeDifference(readOrEmpty(file), text);
  if (difference === "") continue;
  changed++;
  process.stdout.write(`${name}: ${difference}\n`);
  if (isUpdate) writeFileSync(file, text);
}
process.exitCode = changed > 0 && !isUpdate ? 1 : 0;

function readOrEmpty(file: URL): string {
  try {
    return readFileSync(file, "utf8");
  } catch {
    return "";
  }
}

function describeDifference(expected: string, actual: string): string {
  try {
    assert.deepEqual(actual.split("\n"), expected.split("\n"));
    return "";
  } catch (error) {
    return (error as Error).message;
  }
}
