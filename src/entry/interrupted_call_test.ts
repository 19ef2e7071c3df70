import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import { testClientMemory } from "./_fixture.ts";
import { HttpServer, type RequestHandler } from "./http_server.ts";

/** Time for a server to react to what it was sent. */
const REACTION_MS = 100;
const REQUEST =
  "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

const BEHIND: Record<string, string> = {
  "bytes that are no head": "no head\r\n\r\n",
  "a head that is too large": `GET / HTTP/1.1\r\nx: ${"x".repeat(70_000)}`,
};

for (const [name, bytes] of Object.entries(BEHIND)) {
  // Guards against an error in place of the answer to a run that goes on.
  test(`running request is answered in spite of ${name} behind it on its connection`, async (t) => {
    const running: ServerResponse[] = [];
    const serve: RequestHandler = (_request, response) => {
      running.push(response);
      return Promise.resolve();
    };
    const server = HttpServer.create({
      address: "127.0.0.1:0",
      clock: systemClock,
      log: createSilentLogger(),
      requestTimeoutMs: 5000,
      memory: testClientMemory(),
      chat: serve,
      text: serve,
      service: serve,
      models: serve,
      metrics: () => "",
      unreadyReason: () => undefined,
    });
    const address = (await server.start()).unwrapOr("");
    t.after(() => server.close());
    const client = connect(Number(address.split(":")[1]), "127.0.0.1");
    let received = "";
    client.on("data", (chunk) => received += chunk);
    const closed = new Promise((resolve) => client.once("close", resolve));
    client.write(REQUEST);
    while (running.length === 0) await sleep(1);
    client.write(bytes);
    await sleep(REACTION_MS);
    running[0]!.end("answer");
    await closed;
    assert.match(received, /^HTTP\/1\.1 200 [^]*answer/);
  });
}
