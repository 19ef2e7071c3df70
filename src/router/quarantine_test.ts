import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Metrics } from "../base/mod.ts";
import { MODEL_REQUEST_HEADERS, sendClientRequest } from "../standin/mod.ts";
import { sendAdmitted } from "./_admitted_client.ts";
import { recordedLog, silentLog, TestClock } from "./_kit.ts";
import { openWorld, stateContains, until } from "./_world.ts";
import { Quarantine } from "./quarantine.ts";

/** Longer than the investigation of a lost connection takes. */
const INVESTIGATION_MS = 400;

function create(clock = new TestClock(), log = silentLog) {
  const metrics = Metrics.create();
  return Quarantine.create({
    clock,
    log,
    metrics,
    entryCount: () => 4,
    isResponsibleFor: () => true,
    onServerRefused: () => {},
  });
}

function learnEnds(quarantine: Quarantine, clock: TestClock, count: number) {
  for (let i = 0; i < count; i++) {
    clock.advance(1000);
    const atMs = clock.nowMs();
    quarantine.mergeEnd("cause", {
      server: `s${i}/0`,
      answeringMs: 10,
      atMs,
      runMs: 50,
    });
  }
}

test("serious suspects reach an entry that starts later", () => {
  const clock = new TestClock();
  const knowing = create(clock);
  learnEnds(knowing, clock, 3);
  const young = create(clock);
  clock.advance(2000);
  assert.ok(knowing.hasNews);
  young.hear(knowing.takeNews());
  assert.equal(young.table.verdict("cause").kind, "quarantined");
  assert.ok(!knowing.hasNews);
});

test("suspects with a single server end are not repeated", () => {
  const clock = new TestClock();
  const knowing = create(clock);
  learnEnds(knowing, clock, 1);
  clock.advance(60_000);
  assert.ok(!knowing.hasNews);
});

test("gossip preserves the age of a server end", () => {
  const clock = new TestClock();
  const [first, second] = [create(clock), create(clock)];
  learnEnds(first, clock, 3);
  const before = first.table.verdict("cause");
  clock.advance(5000);
  second.hear(first.takeNews());
  const after = second.table.verdict("cause");
  assert.ok(before.kind === "quarantined" && after.kind === "quarantined");
  assert.equal(after.leftMs, before.leftMs - 5000);
});

test("gossip of a successful answer clears a request", () => {
  const clock = new TestClock();
  const quarantine = create(clock);
  learnEnds(quarantine, clock, 3);
  quarantine.hear({ ended: [], cleared: [["cause", 0]] });
  assert.equal(quarantine.table.verdict("cause").kind, "clear");
});

test("quarantine is logged once", () => {
  const clock = new TestClock();
  const { log, lines } = recordedLog();
  learnEnds(create(clock, log), clock, 5);
  const logged = lines.filter(({ event }) => event === "request_quarantined");
  assert.equal(logged.length, 1);
});

test("request whose answers were lost by live servers is still served", async (t) => {
  const world = await openWorld(t);
  for (let i = 0; i < 4; i++) {
    const worker = await world.worker(`i-${i}`);
    worker.faults.loseAnswer = 1;
  }
  const statuses: number[] = [];
  for (let i = 0; i < 12; i++) {
    statuses.push((await sendAdmitted(world, "/book/a")).status);
    await sleep(INVESTIGATION_MS / 4);
  }
  assert.equal(statuses.at(-1), 200);
  assert.ok(!statuses.includes(503));
});

test("request on servers that shut down as planned is still served", async (t) => {
  const world = await openWorld(t);
  for (let i = 0; i < 4; i++) {
    const worker = await world.worker(`i-${i}`, {
      model: "m",
      events: 1000,
      eventMs: 20,
    });
    const asked = sendClientRequest(world, "/once/long", {
      ...MODEL_REQUEST_HEADERS,
    });
    await until(() => worker.runs.length > 0);
    await world.store.put(`servers/i-${i}`, {
      ...worker.entry("engines"),
      state: "draining",
    });
    await until(() => stateContains(world, '"draining":true'));
    await worker.down();
    await asked;
    await world.store.delete(`servers/i-${i}`);
    await until(() => !stateContains(world, `"i-${i}"`));
  }
  await world.engine("i-5");
  assert.equal(
    (await sendClientRequest(world, "/once/long", MODEL_REQUEST_HEADERS))
      .status,
    200,
  );
});
