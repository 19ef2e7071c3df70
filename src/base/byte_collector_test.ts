import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteCollector } from "./byte_collector.ts";
import { seededRandom } from "./random.ts";

const MAX_CHUNK_BYTES = 100_000;
const BYTE_COUNT = 100_000;

// Guards against bytes that are lost or reordered where a chunk spans blocks.
test("collected bytes are those of the chunks, in order", () => {
  const random = seededRandom(1);
  const chunks = Array.from({ length: 40 }, () => {
    const size = Math.floor(random() ** 4 * MAX_CHUNK_BYTES);
    return Buffer.from(Array.from({ length: size }, () => 256 * random()));
  });
  const collector = ByteCollector.create();
  for (const chunk of chunks) collector.push(chunk);
  assert.equal(collector.sizeBytes, Buffer.concat(chunks).length);
  assert.deepEqual(collector.take(), Buffer.concat(chunks));
  assert.equal(collector.take().length, 0);
});

// Guards against memory that single bytes use beyond their own, as views of large buffers do.
test("single bytes use memory in proportion to their number", () => {
  const collector = ByteCollector.create();
  const large = Buffer.alloc(MAX_CHUNK_BYTES);
  for (let i = 0; i < BYTE_COUNT; i++) collector.push(large.subarray(i, i + 1));
  assert.ok(collector.capacityBytes <= 2 * BYTE_COUNT);
});
