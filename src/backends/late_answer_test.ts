import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type EngineCall, HttpEngine, HttpService } from "./mod.ts";

/** Time from the arrival of a call to the late answer of an earlier one, and to the call's own. */
const LATE_MS = 20;
const ANSWER_MS = 60;
/** Time for a connection to become idle. */
const IDLE_MS = 50;
const REJECTION = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
const EVENTS = 'data: {"choices":[{"index":0,"text":"a"}]}\n\n' +
  "data: [DONE]\n\n";

/** Answers each call, and rejects the first one again after the next call has arrived. */
async function serveLateAnswers(t: TestContext, body: string) {
  let first: Socket | undefined;
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      if (!bytes.toString("latin1").startsWith("POST ")) return;
      if (first) setTimeout(() => first?.write(REJECTION), LATE_MS);
      first ??= socket;
      const head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" +
        `content-length: ${body.length}\r\n\r\n`;
      setTimeout(() => socket.write(head + body), ANSWER_MS);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    first?.destroy();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against another call's answer, and a failure of a call that was executed.
test("late answer is not that of the next call that must not be repeated", async (t) => {
  const service = HttpService.create({ url: await serveLateAnswers(t, "own") });
  t.after(() => service.close());
  const { signal } = new AbortController();
  for (let i = 0; i < 2; i++) {
    await sleep(IDLE_MS);
    const statuses: number[] = [];
    const call = {
      method: "POST",
      path: "/",
      headers: [],
      body: Buffer.from("x"),
      atMostOnce: true,
    };
    for await (const step of service.run(call, signal)) {
      assert.ok(step.isOk);
      if (step.value.kind === "head") statuses.push(step.value.status);
    }
    assert.deepEqual(statuses, [200]);
  }
});

// Guards against a refusal of a run that its engine executes.
test("late rejection is not that of the next run", async (t) => {
  const engine = HttpEngine.create({ url: await serveLateAnswers(t, EVENTS) });
  t.after(() => engine.close());
  const { signal } = new AbortController();
  for (let i = 0; i < 2; i++) {
    await sleep(IDLE_MS);
    const call: EngineCall = {
      api: "text",
      requestId: `r${i}`,
      body: { prompt: "p" },
      priority: 0,
      cacheSalt: "s",
    };
    const kinds: string[] = [];
    for await (const step of engine.run(call, signal)) {
      kinds.push(step.isOk ? step.value.kind : step.error.kind);
    }
    assert.ok(!kinds.includes("rejected"), kinds.join());
    assert.equal(kinds.at(-1), "end");
  }
});
