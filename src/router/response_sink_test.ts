import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { test } from "node:test";
import { ResponseSink } from "./response_sink.ts";

// Guards against a listener leak: each write that waited for the client left its listeners behind.
test("sink removes the listeners of completed writes", async () => {
  const response = Object.assign(new EventEmitter(), {
    write: () => false,
    writableFinished: false,
  });
  const sink = new ResponseSink(
    response as unknown as ServerResponse,
    () => false,
  );
  const listeners = () =>
    ["close", "drain", "error"].map((name) => response.listenerCount(name));
  const before = listeners();
  for (let i = 0; i < 20; i++) {
    const written = sink.write(Buffer.from("a"));
    response.emit("drain");
    await written;
  }
  assert.deepEqual(listeners(), before);
});
