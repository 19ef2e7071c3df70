// Guards against interleaved log lines in a pipe that several processes write to: the start of one
// line was followed by another line, of the same or another process. This happened right after a
// process had been paused and wrote all its lines at once: 8192 bytes up to the break.
// Only writes of up to PIPE_BUF bytes are atomic.
import assert from "node:assert/strict";
import fs from "node:fs";
import { mock, test } from "node:test";
import { createLogger, type Logger } from "./log.ts";

/** Largest atomic write to a pipe: PIPE_BUF of Linux. */
const MAX_WRITE_BYTES = 4096;
const LINES = 200;

/** Returns a logger to standard output, and the text of each write. */
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

test("lines logged in a burst are not split across writes", async () => {
  const { log, written } = recordWrites();
  for (let i = 0; i < LINES; i++) log.info({ event: "request", i });
  const isWritten = () => written.join("").split("\n").length > LINES;
  while (!isWritten()) await new Promise((resolve) => setImmediate(resolve));
  mock.restoreAll();
  for (const text of written) {
    assert.ok(Buffer.byteLength(text) <= MAX_WRITE_BYTES, `${text.length}`);
    assert.ok(text.endsWith("\n"));
  }
});

test("lines logged shortly after each other share a write", async () => {
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
