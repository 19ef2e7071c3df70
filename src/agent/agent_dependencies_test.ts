import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { buildDependencies } from "./agent_dependencies.ts";
import { testOptions } from "./_test_kit.ts";

/** Longer than the default silence timeout of the adapters. */
const PAUSE_MS = 23_000;
const CALL = {
  requestId: "r1",
  api: "chat" as const,
  body: { messages: [] },
  priority: 0,
  cacheSalt: "",
};
const PLAIN_CALL = {
  method: "GET",
  path: "/",
  headers: [],
  body: Buffer.alloc(0),
};

function event(data: string): string {
  return `data: ${data}\n\n`;
}

async function writeWithPause(response: ServerResponse): Promise<void> {
  response.writeHead(200);
  response.write(event(`{"choices":[{}]}`));
  await sleep(PAUSE_MS);
  response.end(event(`{"choices":[{}]}`) + event("[DONE]"));
}

async function kindsOf(
  steps: AsyncIterable<{ isOk: boolean; value?: { kind: string } }>,
): Promise<string[]> {
  const kinds: string[] = [];
  for await (const step of steps) {
    kinds.push(step.isOk ? step.value!.kind : "failed");
  }
  return kinds;
}

function partsOf(kind: "engine" | "service", url: string) {
  return buildDependencies(testOptions({ server: { kind, url } }));
}

// Guards against silence timeouts: the connection to a server that paused for 20 s was closed, and
// its run ended as broken.
test("an answer resumes after a long pause of its server", async (context) => {
  const listener = createServer((_request, response) => {
    void writeWithPause(response);
  });
  await new Promise<void>((done) => listener.listen(0, "127.0.0.1", done));
  const { port } = listener.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const parts = [partsOf("engine", url), partsOf("service", url)];
  context.after(() => {
    for (const { owned } of parts) for (const each of owned) void each.close();
    listener.closeAllConnections();
    listener.close();
  });
  const { signal } = new AbortController();
  const [engine, service] = parts.map(({ server }) => server);
  assert(engine?.kind === "engine" && service?.kind === "service");
  const [engineKinds, serviceKinds] = await Promise.all([
    kindsOf(engine.engine.run(CALL, signal)),
    kindsOf(service.service.run(PLAIN_CALL, signal)),
  ]);
  assert.deepEqual(engineKinds, ["piece", "piece", "end"]);
  assert.deepEqual(serviceKinds, ["head", "piece", "piece", "end"]);
});
