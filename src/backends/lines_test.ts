import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import { LineTooLarge, readLines } from "./_lines.ts";

function* repeat(piece: Buffer, count: number): Generator<Buffer> {
  for (let i = 0; i < count; i++) yield piece;
}

// Guards against a line without end that fills the memory of the process.
test("line that is too large ends the stream", async () => {
  let count = 0;
  const pieces = repeat(Buffer.alloc(65_536, "x\n"), 10);
  const endless = repeat(Buffer.alloc(65_536, "x"), 1000);
  const body = Readable.from((function* () {
    yield* pieces;
    yield* endless;
  })());
  await assert.rejects(async () => {
    for await (const line of readLines(body)) count += line === "x" ? 1 : 0;
  }, LineTooLarge);
  assert.equal(count, 10 * 32_768);
});
