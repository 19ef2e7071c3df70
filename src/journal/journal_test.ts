import assert from "node:assert/strict";
import { test } from "node:test";
import {
  describeResult,
  runPendingTasks,
  TestCluster,
  WINDOW_MS,
} from "./_test_cluster.ts";

/** Upper bound for the time that the margin for clock rates adds to a quarantine. */
const CLOCK_MARGIN_MS = 200;

test("a claim is granted once, then running, then ended", async () => {
  const cluster = new TestCluster(1);
  assert.equal(await cluster.claimAndWait(0, "aa"), "granted");
  assert.equal(await cluster.claimAndWait(0, "aa"), "running");
  assert.ok(cluster.forward(cluster.grants[0]!));
  assert.ok(!cluster.forward(cluster.grants[0]!));
  cluster.grants[0]!.ticket.end({ kind: "done", status: 200 });
  assert.equal(await cluster.claimAndWait(0, "aa"), "done");
});

test("of two concurrent claims of a key, one is granted", async () => {
  const cluster = new TestCluster(1);
  const pending = Promise.all([cluster.claim(0, "aa"), cluster.claim(0, "aa")]);
  await cluster.time.advance(100);
  const kinds = (await pending).map(({ result }) => describeResult(result));
  assert.deepEqual(kinds, ["granted", "running"]);
});

test("concurrent claims share a commit", async () => {
  const cluster = new TestCluster(1, { maxClaimsPerCommit: 50 });
  await cluster.claimAndWait(0, "aa");
  const before = cluster.store.counters.writes;
  const pending = Array.from(
    { length: 50 },
    (_, n) => cluster.claim(0, `a${n}x`),
  );
  await cluster.time.advance(100);
  await Promise.all(pending);
  assert.equal(cluster.store.counters.writes - before, 1);
});

test("a successor loads claims with and without an end", async () => {
  const cluster = new TestCluster(2);
  await cluster.claimAndWait(0, "aa");
  await cluster.claimAndWait(0, "ab");
  cluster.forward(cluster.grants[0]!);
  cluster.grants[0]!.ticket.end({ kind: "done", status: 201 });
  await cluster.time.advance(5000);
  assert.equal(await cluster.claimAndWait(1, "aa"), "redirect");
  const unreachable = true;
  assert.equal(await cluster.claimAndWait(1, "aa", { unreachable }), "done");
  assert.equal(await cluster.claimAndWait(1, "ab"), "elsewhere");
  assert.equal(await cluster.claimAndWait(0, "ac"), "redirect");
});

test("a restarted agent refuses open claims of its predecessor as unknown", async () => {
  const cluster = new TestCluster(1);
  await cluster.claimAndWait(0, "aa");
  cluster.replace(0);
  assert.equal(await cluster.claimAndWait(0, "aa"), "unknown");
  assert.equal(await cluster.claimAndWait(0, "ab"), "granted");
});

test("a claim is granted when an answer or a request is lost", async () => {
  const cluster = new TestCluster(1);
  await cluster.claimAndWait(0, "aa");
  cluster.store.faults.loseNextAnswer = true;
  assert.equal(await cluster.claimAndWait(0, "ab"), "granted");
  cluster.store.faults.loseNextRequest = true;
  assert.equal(await cluster.claimAndWait(0, "ac"), "granted");
});

test("an outage refuses claims at once, and refused keys can be claimed later", async () => {
  const cluster = new TestCluster(1);
  await cluster.claimAndWait(0, "aa");
  await cluster.time.advance(100);
  cluster.store.faults.lateNextEffectMs = 500;
  const pending = cluster.claim(0, "ab");
  await runPendingTasks();
  cluster.store.faults.down = true;
  await cluster.time.advance(3000);
  assert.equal(describeResult((await pending).result), "store_down");
  const startMs = cluster.time.nowMs;
  assert.equal(await cluster.claimAndWait(0, "ac"), "store_down");
  assert.ok(cluster.time.nowMs - startMs <= 10);
  cluster.store.faults.down = false;
  await cluster.time.advance(10_000);
  assert.equal(await cluster.claimAndWait(0, "ab"), "granted");
});

test("memory mode grants claims in an outage and writes them afterwards", async () => {
  const cluster = new TestCluster(2);
  const service = "memory";
  await cluster.claimAndWait(0, "aa", { service });
  cluster.store.faults.down = true;
  assert.equal(await cluster.claimAndWait(0, "ab", { service }), "granted");
  assert.equal(await cluster.claimAndWait(0, "ac", { service }), "granted");
  cluster.store.faults.down = false;
  await cluster.time.advance(10_000);
  const unreachable = true;
  const again = await cluster.claimAndWait(1, "ab", { service, unreachable });
  assert.equal(again, "elsewhere");
});

test("a successor in memory mode quarantines unknown keys", async () => {
  const cluster = new TestCluster(2);
  const service = "memory";
  await cluster.claimAndWait(0, "aa", { service });
  cluster.store.faults.down = true;
  assert.equal(await cluster.claimAndWait(0, "ab", { service }), "granted");
  cluster.agents[0]!.isDead = true;
  cluster.store.faults.down = false;
  await cluster.time.advance(10_000);
  const unreachable = true;
  const ask = () => cluster.claimAndWait(1, "ab", { service, unreachable });
  assert.equal(await ask(), "unknown");
  await cluster.time.advance(30_000 + WINDOW_MS + CLOCK_MARGIN_MS);
  assert.equal(await ask(), "granted");
});

test("memory mode ends once a commit that disables it may have taken effect", async () => {
  const cluster = new TestCluster(1);
  const service = "memory";
  await cluster.claimAndWait(0, "aa", { service });
  await cluster.time.advance(100);
  cluster.store.faults.lateNextEffectMs = 200;
  void cluster.claim(0, "ab", { service, whenStoreDown: "refuse" });
  await runPendingTasks();
  cluster.store.faults.down = true;
  await cluster.time.advance(3000);
  assert.equal(await cluster.claimAndWait(0, "ac", { service }), "store_down");
});

test("memory mode ends only after all its grants are written", async () => {
  const cluster = new TestCluster(2);
  const service = "memory";
  await cluster.claimAndWait(0, "aa", { service });
  cluster.store.faults.down = true;
  for (const key of ["ab", "ac", "ad", "ae", "af"]) {
    assert.equal(await cluster.claimAndWait(0, key, { service }), "granted");
  }
  cluster.store.faults.down = false;
  void cluster.claim(0, "ag", { service, whenStoreDown: "refuse" });
  const { revision: before } = cluster.store.table;
  while (cluster.store.table.revision === before) await cluster.time.advance(1);
  cluster.agents[0]!.isDead = true;
  const again = { service, unreachable: true } as const;
  assert.equal(await cluster.claimAndWait(1, "af", again), "unknown");
});

test("a quarantine continues after its owner releases the shard", async () => {
  const cluster = new TestCluster(3);
  const service = "memory";
  await cluster.claimAndWait(0, "aa", { service });
  cluster.store.faults.down = true;
  assert.equal(await cluster.claimAndWait(0, "ab", { service }), "granted");
  cluster.agents[0]!.isDead = true;
  cluster.store.faults.down = false;
  await cluster.time.advance(10_000);
  await cluster.claimAndWait(1, "ab", { service, unreachable: true });
  void cluster.agents[1]!.journal.close();
  await cluster.time.advance(1000);
  assert.equal(await cluster.claimAndWait(2, "ab", { service }), "unknown");
});

test("a released shard is taken over at once, without a quarantine", async () => {
  const cluster = new TestCluster(2);
  const service = "memory";
  await cluster.claimAndWait(0, "aa", { service });
  const closed = cluster.agents[0]!.journal.close();
  await cluster.time.advance(1000);
  await closed;
  assert.equal(await cluster.claimAndWait(0, "ab", { service }), "closing");
  assert.equal(await cluster.claimAndWait(1, "ab", { service }), "granted");
});

test("a call is not forwarded if its ticket is used too late", async () => {
  const cluster = new TestCluster(1);
  await cluster.claimAndWait(0, "aa");
  await cluster.time.advance(2500);
  assert.ok(!cluster.forward(cluster.grants[0]!));
  assert.equal(await cluster.claimAndWait(0, "aa"), "granted");
  cluster.agents[0]!.wallSkewMs += 3000;
  assert.ok(!cluster.forward(cluster.grants[1]!));
});

test("keys expire after the retry window, and their segments are deleted", async () => {
  const cluster = new TestCluster(1);
  await cluster.claimAndWait(0, "aa");
  cluster.forward(cluster.grants[0]!);
  cluster.grants[0]!.ticket.end({ kind: "failed", status: 503 });
  await cluster.time.advance(WINDOW_MS - 1000);
  assert.equal(await cluster.claimAndWait(0, "aa"), "failed");
  await cluster.time.advance(2000);
  assert.equal(await cluster.claimAndWait(0, "aa"), "granted");
  await cluster.time.advance(2 * 60_000);
  const listing = await cluster.store.list("/cicadahitch/journal/t/refuse/");
  assert.equal(listing.isOk && listing.value.entries.length, 2);
});

test("a full shard refuses claims", async () => {
  const cluster = new TestCluster(1, { maxClaimsPerShard: 2 });
  assert.equal(await cluster.claimAndWait(0, "aa"), "granted");
  assert.equal(await cluster.claimAndWait(0, "ab"), "granted");
  assert.equal(await cluster.claimAndWait(0, "ac"), "journal_full");
});

test("two agents that both get claims of a shard take it over at a bounded rate", async () => {
  const cluster = new TestCluster(2);
  await cluster.claimAndWait(0, "aa");
  let takeovers = 0;
  let owner = 0;
  for (let second = 0; second < 30; second++) {
    await cluster.time.advance(1000);
    for (const index of [0, 1]) {
      const answer = await cluster.claimAndWait(index, `a${second}-${index}`);
      if (answer !== "granted" || index === owner) continue;
      owner = index;
      takeovers++;
    }
  }
  assert.ok(takeovers > 0 && takeovers <= 6, `${takeovers} takeovers`);
});

test("a different call with the same key is refused", async () => {
  const cluster = new TestCluster(1);
  await cluster.claimAndWait(0, "aa");
  const settings = {
    retryWindowMs: WINDOW_MS,
    timeoutMs: 1000,
    whenStoreDown: "refuse" as const,
  };
  const keyDigest = new Uint8Array(16);
  keyDigest.set(Buffer.from("aa"), 1);
  const result = await cluster.agents[0]!.journal.claim({
    team: "t",
    service: "refuse",
    keyDigest,
    fingerprint: new Uint8Array([2]),
    runId: "x",
    settings,
  });
  assert.equal(describeResult(result), "key_reused");
});

test("an owner records a claim as not run when its claimant reports this", async () => {
  const cluster = new TestCluster(2);
  await cluster.claimAndWait(0, "aa");
  const { ticket } = cluster.grants[0]!;
  await cluster.claimAndWait(1, "ab", { unreachable: true });
  ticket.end({ kind: "not_run" });
  await cluster.time.advance(5000);
  assert.equal(await cluster.claimAndWait(1, "aa"), "elsewhere");
  const status = cluster.agents[0]!.journal.claimStatus(ticket.ref);
  assert.deepEqual(status, { kind: "ended", end: { kind: "not_run" } });
  cluster.agents[1]!.journal.recordEnd(ticket.ref, { kind: "not_run" });
  assert.equal(await cluster.claimAndWait(1, "aa"), "granted");
});

test("a journal of an unknown format is refused as unreadable", async () => {
  const cluster = new TestCluster(1);
  const key = `/cicadahitch/journal/t/refuse/${0x61 % 16}/head`;
  const value = new Uint8Array([99]);
  await cluster.store.commit([], [{ kind: "put", key, value }]);
  assert.equal(await cluster.claimAndWait(0, "aa"), "unreadable");
});
