import assert from "node:assert/strict";
import { test } from "node:test";
import { systemClock } from "../base/mod.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { BranchSet } from "./branch_set.ts";
import { type FleetNode, GatedStore, LocalFleet } from "./local_fleet.ts";
import { encodeBranch, teamKey } from "./stored_branch.ts";
import type { CommitOutcome } from "../store/store.ts";

const BRANCH = { format: 1, classes: {}, workspaces: {} };
const STORED_VALUE = encodeBranch(BRANCH);
const WAIT_TIMEOUT_MS = 60_000;
const FAST_OPTIONS = {
  startJitterMs: 0,
  exchangeIntervalMs: 20,
  maxStartMs: 60_000,
};

function put(store: MemoryStore, team: string): bigint {
  const write = {
    kind: "put" as const,
    key: teamKey(team),
    value: STORED_VALUE,
  };
  return revisionOf(store.table.commit([], [write]));
}

function remove(store: MemoryStore, team: string): bigint {
  const write = { kind: "delete" as const, key: teamKey(team) };
  return revisionOf(store.table.commit([], [write]));
}

function revisionOf({ position }: CommitOutcome): bigint {
  return position.revision;
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  const timeoutAtMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!isMet()) {
    assert(
      performance.now() < timeoutAtMs,
      "Condition was not met before the timeout",
    );
    await systemClock.sleep(2);
  }
}

const holds = (node: FleetNode, team: string, revision: bigint) => () =>
  node.branches.get(team)?.revision === revision;
const lacks = (node: FleetNode, team: string) => () =>
  node.branches.get(team) === undefined;

function setUp(sync = {}) {
  const store = MemoryStore.create({ progressMs: 10 });
  const fleet = LocalFleet.create({
    store,
    sync: { ...FAST_OPTIONS, ...sync },
  });
  return { store, fleet };
}

test("a change reaches every node by watch", async () => {
  const { store, fleet } = setUp();
  const first = put(store, "a");
  const nodes = ["n1", "n2", "n3"].map((at) => fleet.start(at));
  for (const node of nodes) await waitUntil(holds(node, "a", first));
  const second = put(store, "a");
  for (const node of nodes) await waitUntil(holds(node, "a", second));
  remove(store, "a");
  for (const node of nodes) await waitUntil(lacks(node, "a"));
  await fleet.stopAll();
});

test("a node without a store connection receives changes from peers", async () => {
  const { store, fleet } = setUp();
  const a = put(store, "a");
  put(store, "b");
  const near = fleet.start("near");
  const far = fleet.start("far");
  await waitUntil(holds(far, "a", a));
  far.store.open = false;
  const second = put(store, "a");
  remove(store, "b");
  await waitUntil(holds(far, "a", second));
  await waitUntil(lacks(far, "b"));
  await waitUntil(() => far.branches.completeTo >= second);
  assert.equal(far.branches.hash, near.branches.hash);
  await fleet.stopAll();
});

test("a node that starts during a store outage gets branches from a peer", async () => {
  const { store, fleet } = setUp();
  const a = put(store, "a");
  const first = fleet.start("first");
  await waitUntil(holds(first, "a", a));
  store.faults.down = true;
  const second = fleet.start("second");
  assert.deepEqual(await second.sync.ready, { source: "peer" });
  assert.equal(second.branches.get("a")?.revision, a);
  assert(second.sync.knowsAllTeams);
  await fleet.stopAll();
});

test("a node that starts without store and peers gets branches from an agent", async () => {
  const { store, fleet } = setUp();
  store.faults.down = true;
  const agent = BranchSet.create();
  agent.apply({ team: "a", revision: 7n, json: Buffer.from(STORED_VALUE) });
  fleet.agents.set("agent", agent);
  const node = fleet.start("node", { seedAddresses: () => ["agent"] });
  assert.deepEqual(await node.sync.ready, { source: "agent" });
  assert.equal(node.branches.get("a")?.revision, 7n);
  assert(!node.sync.knowsAllTeams);
  await fleet.stopAll();
});

test("a node that starts without any source waits at most maxStartMs", async () => {
  const { store, fleet } = setUp({ maxStartMs: 30 });
  store.faults.down = true;
  const node = fleet.start("node");
  assert.deepEqual(await node.sync.ready, { source: "nobody" });
  assert(node.sync.isolated);
  await fleet.stopAll();
});

test("a push sends branches and deletions to an agent and fetches newer branches", async () => {
  const { store, fleet } = setUp();
  const a = put(store, "a");
  const gone = put(store, "gone");
  const node = fleet.start("node");
  await waitUntil(holds(node, "a", a));
  remove(store, "gone");
  await waitUntil(lacks(node, "gone"));
  const agent = BranchSet.create();
  const json = Buffer.from(STORED_VALUE);
  agent.apply({ team: "gone", revision: gone, json });
  agent.apply({ team: "b", revision: 99n, json });
  fleet.agents.set("agent", agent);
  assert((await node.sync.pushToAgent("agent", ["a"])).isOk);
  assert.equal(agent.get("a")?.revision, a);
  assert.equal(agent.get("gone"), undefined);
  assert.equal(node.branches.get("b")?.revision, 99n);
  await fleet.stopAll();
});

test("a compacted watch causes a new listing", async () => {
  const { store, fleet } = setUp();
  const a = put(store, "a");
  const b = put(store, "b");
  const node = fleet.start("node");
  await waitUntil(holds(node, "a", a));
  await waitUntil(holds(node, "b", b));
  node.store.open = false;
  remove(store, "a");
  const second = put(store, "b");
  store.table.compact(second);
  node.store.open = true;
  await waitUntil(holds(node, "b", second));
  assert.equal(node.branches.get("a"), undefined);
  assert.equal(node.sync.state().storeCalls?.lists, 2);
  await fleet.stopAll();
});

test("a stale listing does not revert newer versions", async () => {
  const store = MemoryStore.create({ progressMs: 10 });
  put(store, "a");
  const old = await store.list(teamKey(""));
  const lagging = GatedStore.create(store);
  lagging.list = () => Promise.resolve(old);
  const fleet = LocalFleet.create({ store: lagging, sync: FAST_OPTIONS });
  const second = put(store, "a");
  const node = fleet.start("node");
  const seen: bigint[] = [];
  node.branches.onChange(({ revision }) => seen.push(revision));
  await waitUntil(holds(node, "a", second));
  assert.deepEqual(seen, seen.toSorted((x, y) => Number(x - y)));
  await fleet.stopAll();
});

test("a node without store and peers for longer than the limit is isolated", async () => {
  const { store, fleet } = setUp({ isolationLimitMs: 10_000 });
  const a = put(store, "a");
  let nowMs = 0;
  const clock = { ...systemClock, nowMs: () => nowMs };
  const node = fleet.start("node", { clock });
  const other = fleet.start("other");
  await waitUntil(holds(node, "a", a));
  node.store.open = false;
  await waitUntil(() => other.sync.peerTable.get("node") !== undefined);
  assert(!node.sync.isolated);
  nowMs += 10_001;
  await waitUntil(() => !node.sync.isolated);
  fleet.isolated.add("node");
  nowMs += 10_000;
  assert(!node.sync.isolated);
  nowMs += 1;
  assert(node.sync.isolated);
  assert.equal(node.branches.get("a")?.revision, a);
  assert(!other.sync.isolated);
  const second = put(store, "a");
  fleet.isolated.delete("node");
  await waitUntil(() => !node.sync.isolated);
  await waitUntil(holds(node, "a", second));
  await fleet.stopAll();
});

test("the peer table tells whether a peer has a version", async () => {
  const { store, fleet } = setUp();
  const a = put(store, "a");
  const one = fleet.start("one");
  const two = fleet.start("two");
  await waitUntil(holds(one, "a", a));
  await waitUntil(holds(two, "a", a));
  await one.sync.exchangeWith("two");
  const record = one.sync.peerTable.get("two");
  assert(record && one.sync.peerTable.hasVersion(record, "a", a));
  assert(!one.sync.peerTable.hasVersion(record, "a", a + 1000n));
  await fleet.stopAll();
});
