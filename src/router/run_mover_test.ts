import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { recordedLog, registration, TestClock } from "./_kit.ts";
import type { Send } from "./attempt.ts";
import { Fleet } from "./fleet.ts";
import { RunMover } from "./run_mover.ts";

const REQUEST_ID = "attempt-1";
const COPY_ID = "copy-1";

/** An engine that copies any run; returns its address, and what it was called for. */
async function copyingEngine(
  t: TestContext,
  onMove: () => void,
): Promise<{ address: string; calls: string[] }> {
  const calls: string[] = [];
  const server = createServer((request, response) => {
    calls.push(`${request.method} ${request.url}`);
    if (request.method === "POST") onMove();
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({ handle: COPY_ID }));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, calls };
}

/*
 * A run was copied to an engine that started again meanwhile. The copy was gone, and the run was
 * sent there all the same.
 */
test("run doesn't go on at an engine that has started again since it was copied", async (t) => {
  for (const restarts of [false, true]) {
    const { log } = recordedLog();
    const clock = new TestClock();
    const fleet = Fleet.create({
      clock,
      log,
      serverOptions: () => ({
        connectMs: 1,
        idleMs: 1,
        cacheTokens: 1,
        connectionLimit: 9,
      }),
      outage: () => undefined,
      awaitsReturns: () => false,
    });
    const { address, calls } = await copyingEngine(t, () => {
      if (restarts) fleet.put(registration("to", { bornAtMs: 2 }));
    });
    fleet.put(registration("from", { address }));
    fleet.put(registration("to", { bornAtMs: 1 }));
    const mover = RunMover.create({
      clock,
      log,
      fleet,
      zone: "a",
      random: () => 0,
      spend: () => true,
    });
    const send = {
      request: {
        service: "engines",
        facts: { requestId: REQUEST_ID, prompt: { model: "m" } },
      },
      choice: { server: fleet.get("from"), weightsVersion: 1 },
      progress: { tried: new Set(["from"]) },
    } as unknown as Send;
    const move = await mover.move(send);
    assert.equal(move.kind, restarts ? "stopped" : "copied");
    const freed = () => calls.filter((call) => call.startsWith("DELETE"));
    while (restarts && freed().length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    assert.equal(freed().length, restarts ? 1 : 0);
  }
});
