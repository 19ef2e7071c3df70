import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { SEALED_HEAD } from "../standin/mod.ts";
import { askUntilAccepted, serveBytes } from "./_raw_server.ts";
import { openWorld } from "./_world.ts";

const CHUNKED_HEAD = `${SEALED_HEAD}transfer-encoding: chunked\r\n`;
const SMALL_CHUNKS = "1\r\nx\r\n".repeat(10_000);
const MAX_HEAP_GROWTH_BYTES = 100 * 1024 * 1024;
const SAMPLE_MS = 20;

// Guards against an object kept for each byte: they fill the heap long before the answer is too large.
test("answer in chunks of one byte without end uses little memory", async (t) => {
  const world = await openWorld(t);
  await serveBytes(t, world, {
    id: "i-raw",
    service: "plain",
    answer: (socket, attemptId) => {
      socket.write(`${CHUNKED_HEAD}attempt-id: ${attemptId}\r\n\r\n`);
      const write = () => {
        if (!socket.destroyed) socket.write(SMALL_CHUNKS, () => write());
      };
      write();
    },
  });
  const heapBytes = process.memoryUsage().heapUsed;
  let maxHeapBytes = heapBytes;
  const sampling = setInterval(() => {
    const { heapUsed } = process.memoryUsage();
    maxHeapBytes = Math.max(maxHeapBytes, heapUsed);
  }, SAMPLE_MS);
  t.after(() => clearInterval(sampling));
  const asked = await askUntilAccepted(world, "/book/a");
  assert.notEqual(asked.status, 200);
  const grownBytes = maxHeapBytes - heapBytes;
  assert.ok(grownBytes <= MAX_HEAP_GROWTH_BYTES, `${grownBytes} bytes`);
});
