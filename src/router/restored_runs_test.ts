/** Streams that may not run twice, whose engines are lost while another engine has their backup. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type AttemptOptions,
  configWithBackups,
  MODEL_REQUEST_HEADERS,
  readStream,
  restartServer,
  type StandinBackendServer,
  type StreamAttempt,
  toRequestHeaders,
} from "../standin/mod.ts";
import { type LogLine, recordedLog } from "./_kit.ts";
import { LONG_TIMEOUT_MS } from "./_long_timeout_kit.ts";
import { openWorld, stateContains, until, useConfig } from "./_world.ts";
import type { World } from "./_world.ts";

const ID = "attempt-1";
const EVENTS = 8;
/** Events before a stream stalls, so that its engine is lost in the middle of it. */
const EVENTS_BEFORE_STALL = 3;
const STALL_MS = 60_000;
const RETRY_PAUSE_MS = 100;

interface Setup {
  world: World;
  lines: LogLine[];
  /** The engine that runs the stream, and the one that holds its backup. */
  primary: StandinBackendServer;
  backup: StandinBackendServer;
  ended: Promise<StreamAttempt>;
}

interface SetupOptions {
  eventsBeforeStall?: number;
  /** Engines besides the two. */
  others?: string[];
  /** The backup is never made. */
  isCopyMissing?: boolean;
}

/** Starts a stream on one of two engines, which stalls until the test ends. */
async function openStalledStream(
  t: TestContext,
  {
    eventsBeforeStall = EVENTS_BEFORE_STALL,
    others = [],
    isCopyMissing = false,
  }: SetupOptions = {},
): Promise<Setup> {
  const { log, lines } = recordedLog();
  const world = await openWorld(t, { log });
  await useConfig(
    world,
    configWithBackups(2, { timeoutMs: LONG_TIMEOUT_MS }),
  );
  for (const id of ["i-1", "i-2", ...others]) {
    const { faults } = await world.worker(id, {
      model: "m",
      events: EVENTS,
      softwareVersion: "v1",
    });
    faults.stall = { afterEvent: eventsBeforeStall, pauseMs: STALL_MS };
    if (isCopyMissing) faults.noBackup = 1;
  }
  let eventCount = 0;
  const ended = readAccepted(world, {
    path: "/once/a",
    headers: { ...MODEL_REQUEST_HEADERS, ...toRequestHeaders({ id: ID }) },
    onEvent: () => eventCount++,
  });
  await until(() =>
    world.workers.some(({ runs }) => runs.length > 0) &&
    eventCount === eventsBeforeStall
  );
  const primary = world.workers.find(({ runs }) => runs.length > 0)!;
  const target = primary.runs[0]!.headers["kv-backup"];
  const backup = world.workers.find(({ address }) => address === target)!;
  assert.ok(backup && backup !== primary);
  for (const { faults } of world.workers) faults.stall = undefined;
  return { world, lines, primary, backup, ended };
}

/** Repeats a request while the entry refuses it, as it is overloaded on a busy computer. */
async function readAccepted(
  world: World,
  options: AttemptOptions,
): Promise<StreamAttempt> {
  while (true) {
    const attempt = await readStream(world, options);
    const hasRun = world.workers.some(({ runs }) => runs.length > 0);
    if (attempt.status !== 503 || hasRun) return attempt;
    await sleep(RETRY_PAUSE_MS);
  }
}

function idsOf({ events }: StreamAttempt): number[] {
  return events.map(({ id }) => id);
}

/** Asserts that the client has each event once, and that no run began anew. */
async function assertRestored(
  { ended, world, primary, backup }: Setup,
  firstRestored: number,
): Promise<void> {
  const attempt = await ended;
  assert.equal(attempt.status, 200);
  assert.equal(attempt.isComplete, true);
  assert.deepEqual(
    idsOf(attempt),
    Array.from({ length: EVENTS }, (_, i) => i + 1),
  );
  assert.deepEqual(
    attempt.events.map(({ serverId }) => serverId),
    Array.from(
      { length: EVENTS },
      (_, i) => i + 1 < firstRestored ? primary.id : backup.id,
    ),
  );
  assert.equal(primary.runs.length, 1);
  assert.equal(backup.runs.length, 1);
  assert.equal(world.workers.flatMap(({ runs }) => runs).length, 2);
}

/** Asserts that the stream is cut after the events before its stall, and not sent again. */
async function assertCut(
  { ended, primary, backup }: Setup,
  { runs = 1, arrivals = 0 }: { runs?: number; arrivals?: number } = {},
): Promise<void> {
  const attempt = await ended;
  assert.equal(attempt.isComplete, false);
  assert.deepEqual(idsOf(attempt), [1, 2, 3]);
  assert.equal([...primary.runs, ...backup.runs].length, runs);
  assert.equal(backup.arrivals.length, arrivals);
}

function restoresOf({ lines }: Setup): unknown[] {
  return lines.filter(({ event }) => event === "run_restored")
    .map(({ from, to, outcome, reason }) => [from, to, outcome, reason]);
}

function endOf({ lines }: Setup): LogLine {
  return lines.find(({ event }) => event === "request")!;
}

async function backupCounts({ ipAddress, controlPort }: World) {
  const metrics = await fetch(`http://${ipAddress}:${controlPort}/metrics`);
  return (await metrics.text()).split("\n")
    .filter((line) => line.startsWith("run_backups_total")).toSorted();
}

// Guards against a truncated answer of a stream that may not run twice when its engine crashes, and
// against events that are lost or sent twice where the backup continues.
test("stream whose engine is killed continues from its backup", async (t) => {
  const setup = await openStalledStream(t);
  const { primary, backup, world } = setup;
  await primary.down();
  await assertRestored(setup, EVENTS_BEFORE_STALL + 1);
  const { headers } = backup.runs[0]!;
  assert.equal(headers["attempt-id"], ID);
  assert.equal(headers["kv-from"], `${backup.address}/${ID}`);
  assert.equal(headers["last-event-id"], "3");
  assert.equal(headers["expect-instance"], backup.id);
  assert.equal(headers["expect-version"], "1");
  assert.equal(headers["kv-backup"], undefined);
  const leftMs = Number(primary.runs[0]!.headers["deadline-ms"]);
  assert.ok(Number(headers["deadline-ms"]) <= leftMs);
  assert.deepEqual(restoresOf(setup), [
    [primary.id, backup.id, "continued", undefined],
  ]);
  assert.deepEqual(await backupCounts(world), [
    'run_backups_total{outcome="asked"} 1',
    'run_backups_total{outcome="continued"} 1',
  ]);
});

// Guards against a restore that fails because the client has no event id yet, and against a client
// that gets the head of the lost answer.
test("stream whose engine is killed before its first event continues from its backup", async (t) => {
  const setup = await openStalledStream(t, { eventsBeforeStall: 0 });
  const { primary, backup } = setup;
  await primary.down();
  await assertRestored(setup, 1);
  assert.equal(backup.runs[0]!.headers["last-event-id"], undefined);
});

// Guards against sending the request to a third engine, where it would begin anew.
test("stream ends when the engine with its backup is killed as well", async (t) => {
  const setup = await openStalledStream(t, { others: ["i-3"] });
  const { primary, backup } = setup;
  await backup.down();
  await primary.down();
  await assertCut(setup);
  const [restore] = restoresOf(setup) as string[][];
  assert.equal(restore?.[2], "unreachable");
});

// Guards against a second restore: the backup of the lost run is used up.
test("stream ends when its restored run is lost as well", async (t) => {
  const setup = await openStalledStream(t, { others: ["i-3"] });
  const { primary, backup } = setup;
  backup.faults.loseAnswer = 1;
  await primary.down();
  await assertCut(setup, { runs: 2, arrivals: 1 });
  const [restore] = restoresOf(setup) as string[][];
  assert.equal(restore?.[2], "failed");
});

// Guards against beginning a run anew where the engine has no copy of it, and against holding back that
// engine from other requests.
test("stream ends when its backup was not copied yet", async (t) => {
  const setup = await openStalledStream(t, { isCopyMissing: true });
  const { primary, backup, world } = setup;
  await primary.down();
  await assertCut(setup, { arrivals: 1 });
  assert.equal(backup.refused, 1);
  assert.deepEqual(restoresOf(setup), [
    [primary.id, backup.id, "no_copy", "refused_503"],
  ]);
  assert.equal(endOf(setup)["notResent"], "not_repeatable");
  assert.ok(!stateContains(world, '"heldBack":true'));
});

// Guards against answering 503, which says that the request has not run, where only its restore was
// refused.
test("request without an event is answered 502 when its backup was not copied yet", async (t) => {
  const setup = await openStalledStream(t, {
    eventsBeforeStall: 0,
    isCopyMissing: true,
  });
  const { primary, backup, ended } = setup;
  await primary.down();
  assert.equal((await ended).status, 502);
  assert.equal(backup.refused, 1);
  assert.equal(backup.runs.length, 0);
});

// Guards against a restore at a new process under the id of the one that had the copy.
test("stream ends when the engine with its backup has restarted", async (t) => {
  const setup = await openStalledStream(t);
  const { primary, backup, world } = setup;
  await restartServer(backup);
  await world.store.put(`servers/${backup.id}`, backup.entry("engines"));
  await until(() => stateContains(world, `"bornAtMs":${backup.bornAtMs}`));
  await primary.down();
  await assertCut(setup);
  assert.deepEqual(restoresOf(setup), [
    [primary.id, backup.id, "no_copy", "backup_ended"],
  ]);
});

// Guards against a run that continues at an engine that has restarted, if its new registration is not
// known yet: only the engine can tell that the copy is gone.
test("stream ends when the engine with its backup has restarted unnoticed", async (t) => {
  const setup = await openStalledStream(t);
  const { primary, backup } = setup;
  const { address } = backup;
  await restartServer(backup);
  await primary.down();
  // A process of another test may have taken its port.
  const arrivals = backup.address === address ? 1 : 0;
  await assertCut(setup, { arrivals });
});

// Guards against a run whose memory, from other weights, is continued by an engine with new ones.
test("stream ends when the engine with its backup has loaded other weights", async (t) => {
  const setup = await openStalledStream(t);
  const { primary, backup, world } = setup;
  const models = [{ name: "m", version: 2, adapters: [] }];
  await world.store.put(
    `servers/${backup.id}`,
    backup.entry("engines", { models }),
  );
  await until(() => stateContains(world, '"weights":{"m":2}'));
  await primary.down();
  await assertCut(setup);
  assert.deepEqual(restoresOf(setup), [
    [primary.id, backup.id, "not_sent", "other_weights"],
  ]);
});

// Guards against a stream that hangs until its deadline on a connection that nobody has closed, as the
// engine's computer lost power and has started again.
test("stream continues from its backup when its engine has started again", async (t) => {
  const setup = await openStalledStream(t);
  const { primary, world } = setup;
  const born = primary.bornAtMs + 1;
  await world.store.put(
    `servers/${primary.id}`,
    primary.entry("engines", { born }),
  );
  await assertRestored(setup, EVENTS_BEFORE_STALL + 1);
  await until(() => primary.streams === 0);
  assert.deepEqual(endOf(setup)["servers"], [primary.id, setup.backup.id]);
});

/** Headers of a run of a stream, without its remaining time. */
async function sentHeaders(
  t: TestContext,
  { path, hasBackups }: { path: string; hasBackups: boolean },
): Promise<Record<string, unknown>> {
  const world = await openWorld(t);
  await useConfig(
    world,
    configWithBackups(2, { timeoutMs: LONG_TIMEOUT_MS, hasBackups }),
  );
  for (const id of ["i-1", "i-2"]) {
    await world.worker(id, { model: "m", softwareVersion: "v1" });
  }
  const headers = { ...MODEL_REQUEST_HEADERS, ...toRequestHeaders({ id: ID }) };
  const { status } = await readAccepted(world, { path, headers });
  assert.equal(status, 200);
  const [run, ...others] = world.workers.flatMap(({ runs }) => runs);
  assert.equal(others.length, 0);
  const { "deadline-ms": _, connection: __, ...sent } = run!.headers;
  const place = { host: "", "expect-instance": "" };
  return { ...sent, ...place };
}

// Guards against engines that get a header they don't know, and against backups that nobody needs.
test("headers are unchanged without backups and on resumable routes", async (t) => {
  const plain = {
    "attempt-id": ID,
    "cache-salt": "w1.w",
    "content-length": "7",
    "expect-instance": "",
    "expect-version": "1",
    ...MODEL_REQUEST_HEADERS,
    host: "",
    tenant: "w",
  };
  const once = { path: "/once/a", hasBackups: false };
  const sent = await sentHeaders(t, once);
  assert.deepEqual(sent, { ...plain, "request-priority": "1" });
  const stream = { path: "/stream/a", hasBackups: true };
  assert.deepEqual(await sentHeaders(t, stream), {
    ...plain,
    "request-priority": "0",
  });
  const backedUp = await sentHeaders(t, { ...once, hasBackups: true });
  const { "kv-backup": target, ...rest } = backedUp;
  assert.match(String(target), /^127\.0\.0\.1:\d+$/);
  assert.deepEqual(rest, sent);
});
