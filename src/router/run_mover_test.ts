import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { registration, silentLog, TestClock } from "./_kit.ts";
import type { Send } from "./attempt.ts";
import { Fleet } from "./fleet.ts";
import { RunMover } from "./run_mover.ts";
import { WantedVersions } from "./wanted_weights.ts";

/** A run on engine `a`, and a mover that may take it to others. */
class Rig {
  readonly clock = new TestClock();
  readonly wanted = WantedVersions.create({
    clock: this.clock,
    boundMs: 10_000,
  });
  readonly fleet = Fleet.create({
    clock: this.clock,
    log: silentLog,
    serverOptions: () => ({
      connectMs: 100,
      idleMs: 1,
      cacheTokens: 1000,
      connectionLimit: 9,
    }),
    outage: () => undefined,
    awaitsReturns: () => false,
  });
  /** Moves that were tried. */
  spent = 0;
  readonly #mover = RunMover.create({
    clock: this.clock,
    log: silentLog,
    fleet: this.fleet,
    wanted: this.wanted,
    zone: "a",
    random: () => 0,
    spend: () => ++this.spent > 0,
  });

  move(): ReturnType<RunMover["move"]> {
    const send = {
      choice: { server: this.fleet.get("a"), weightsVersion: 1 },
      progress: { tried: new Set(["a"]) },
      request: {
        service: "engines",
        facts: { requestId: "r", prompt: { model: "m" } },
      },
    } as unknown as Send;
    return this.#mover.move(send);
  }
}

/** Whether a run was to be moved to `b`, some time after newer weights were named. */
async function isMoved(ageMs: number): Promise<boolean> {
  const rig = new Rig();
  for (const id of ["a", "b"]) rig.fleet.put(registration(id));
  rig.wanted.name({ model: "m", version: 2 }, { maxAgeMs: 0 });
  rig.clock.advance(ageMs);
  // Nothing listens there: what counts is whether a move was tried.
  await rig.move();
  return rig.spent > 0;
}

// Runs were moved, with their memory, off an engine whose weights were about to change, to another
// one that still had the old ones; 10.8 s and 10.9 s after these had been replaced they began anew
// there. Only engines that a new request may still begin on are places to move to.
test("run is moved to an engine whose weights may still begin answers", async () => {
  assert.ok(await isMoved(0));
  assert.ok(await isMoved(8000));
});

test("run is not moved to an engine whose weights were replaced too long ago", async () => {
  assert.equal(await isMoved(9500), false);
});

/** An engine that copies any run; its address, and what it was called for. */
async function copyingEngine(
  t: TestContext,
  onMove: () => void,
): Promise<{ address: string; calls: string[] }> {
  const calls: string[] = [];
  const server = createServer((request, response) => {
    calls.push(`${request.method} ${request.url}`);
    if (request.method === "POST") onMove();
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({ handle: "copy-1" }));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, calls };
}

// A run was copied to an engine that started again meanwhile. The copy was gone, and the run was
// sent there all the same.
test("run doesn't go on at an engine that has started again since it was copied", async (t) => {
  for (const restarts of [false, true]) {
    const rig = new Rig();
    const { address, calls } = await copyingEngine(t, () => {
      if (restarts) rig.fleet.put(registration("b", { bornAtMs: 2 }));
    });
    rig.fleet.put(registration("a", { address }));
    rig.fleet.put(registration("b", { bornAtMs: 1 }));
    const move = await rig.move();
    assert.equal(move.kind, restarts ? "stopped" : "copied");
    const freed = () => calls.filter((call) => call.startsWith("DELETE"));
    while (restarts && freed().length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    assert.equal(freed().length, restarts ? 1 : 0);
  }
});
