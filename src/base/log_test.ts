// Lines of two processes were torn into each other in what the platform had kept of their output:
// the head of one line, then the next one, its own or another process's. All came right after a
// process had stood still and wrote all its lines at once; in both cases that were counted, the
// lines up to the tear had 8192 bytes together. A longer write is not kept whole.
import assert from "node:assert/strict";
import fs from "node:fs";
import { mock, test } from "node:test";
import { createLogger, type Logger } from "./log.ts";

/** Longest write that a pipe with several writers keeps in one piece: PIPE_BUF of Linux. */
const WHOLE_BYTES = 4096;
const LINES = 200;

/** A log to standard output, and what is written there, a text a write. */
function recordWrites(): { log: Logger; written: string[] } {
  const written: string[] = [];
  mock.method(fs, "write", (...args: unknown[]) => {
    const [, text, done] = args as [
      number,
      string,
      (error: null, bytes: number) => void,
    ];
    written.push(text);
    setImmediate(() => done(null, Buffer.byteLength(text)));
  });
  const log = createLogger({
    level: "info",
    role: "router",
    processId: "test",
    toStdout: true,
  });
  return { log, written };
}

test("lines that are written at once stay whole", async () => {
  const { log, written } = recordWrites();
  for (let i = 0; i < LINES; i++) log.info({ event: "request", i });
  const isWritten = () => written.join("").split("\n").length > LINES;
  while (!isWritten()) await new Promise((resolve) => setImmediate(resolve));
  mock.restoreAll();
  for (const text of written) {
    assert.ok(Buffer.byteLength(text) <= WHOLE_BYTES, `${text.length}`);
    assert.ok(text.endsWith("\n"));
  }
});

test("lines that come within a moment are written together", async () => {
  const { log, written } = recordWrites();
  for (let i = 0; i < 10; i++) {
    log.info({ event: "request", i });
    await new Promise((resolve) => setImmediate(resolve));
  }
  while (written.length === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  mock.restoreAll();
  assert.equal(written.length, 1);
  assert.equal(written.join("").split("\n").length, 11);
});
