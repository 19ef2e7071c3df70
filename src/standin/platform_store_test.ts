import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { request } from "undici";
import { StandinPlatformStore } from "./platform_store_server.ts";

const LEASE_TTL_MS = 60_000;
const LONG_POLL_MS = 20_000;
const AWAY_MS = 50;

type Call = (
  method: string,
  path: string,
  body?: unknown,
) => Promise<{ status: number; era: string; body: string }>;

async function openStore(
  t: TestContext,
): Promise<{ store: StandinPlatformStore; call: Call }> {
  const store = await StandinPlatformStore.create();
  t.after(() => store.close());
  const call: Call = async (method, path, body) => {
    const sent = body === undefined || typeof body === "string"
      ? body
      : JSON.stringify(body);
    const url = `http://${store.address}/v1/${path}`;
    // A kept connection may have been cut by a restore.
    const answer = await request(url, { method, body: sent, reset: true });
    const { statusCode, headers, body: received } = answer;
    const era = String(headers["store-era"]);
    return { status: statusCode, era, body: await received.text() };
  };
  return { store, call };
}

async function put(call: Call, key: string, lease = 0): Promise<number> {
  const writes = [{ key, value: "", lease }];
  const answer = await call("POST", "kv-txn", { writes });
  return JSON.parse(answer.body).revision;
}

async function grant(call: Call): Promise<number> {
  const answer = await call("POST", "kv-lease", { ttl_ms: LEASE_TTL_MS });
  return JSON.parse(answer.body).lease;
}

function renew(call: Call, lease: number): Promise<{ status: number }> {
  return call("POST", `kv-keep/${lease}`);
}

// A client that gets no era with a refusal goes on with positions of the era before.
test("store names its era in all answers, refusals included", async (t) => {
  const { store, call } = await openStore(t);
  const copy = store.copy();
  await put(call, "a");
  store.store.table.compact(1n);
  for (const era of ["1", "2"]) {
    const expected = [{ key: "a", revision: 99 }];
    const answers = {
      200: await call("GET", "kv-range?prefix="),
      400: await call("POST", "kv-txn", "{"),
      404: await call("GET", "kv-key?key=b"),
      410: await call("GET", "kv-watch?prefix=&after=99&wait_ms=0"),
      412: await call("POST", "kv-txn", { expected }),
    };
    for (const [status, answer] of Object.entries(answers)) {
      assert.deepEqual([answer.status, answer.era], [Number(status), era]);
    }
    store.store.faults.down = true;
    const refused = await call("GET", "kv-key?key=a");
    assert.deepEqual([refused.status, refused.era], [503, era]);
    store.store.faults.down = false;
    await store.restore(copy);
  }
});

// A store that keeps what was written since its copy shows none of the faults of one that goes back.
test("store that comes back from a copy gives revisions out again", async (t) => {
  const { store, call } = await openStore(t);
  const before = await put(call, "a");
  const copy = store.copy();
  const lost = await put(call, "a");
  await put(call, "b");
  await store.restore(copy, { awayMs: AWAY_MS });
  const found = JSON.parse((await call("GET", "kv-range?prefix=")).body);
  assert.equal(found.current_rev, before);
  assert.deepEqual(
    found.items.map((item: { key: string; revision: number }) =>
      `${item.key}@${item.revision}`
    ),
    [`a@${before}`],
  );
  assert.equal(await put(call, "c"), lost);
});

// Events of the era before must not reach a watch of the new one as the store's history.
test("watch after a restore gets the new history alone", async (t) => {
  const { store, call } = await openStore(t);
  const copy = store.copy();
  const first = await put(call, "lost");
  await put(call, "lost");
  await store.restore(copy);
  await put(call, "kept");
  const after = first - 1;
  const answer = await call(
    "GET",
    `kv-watch?prefix=&after=${after}&wait_ms=${LONG_POLL_MS}`,
  );
  const { events } = JSON.parse(answer.body);
  assert.deepEqual(events.map(({ key }: { key: string }) => key), ["kept"]);
});

// A long poll from a revision that was lost would hang until the revision is given out again.
test("watch from a revision that was lost gets 410 at once", async (t) => {
  const { store, call } = await openStore(t);
  const copy = store.copy();
  await put(call, "a");
  const lost = await put(call, "a");
  await store.restore(copy);
  const path = `kv-watch?prefix=&after=${lost}&wait_ms=${LONG_POLL_MS}`;
  assert.equal((await call("GET", path)).status, 410);
});

// A poll that survives the restore would deliver changes of two histories.
test("poll that waits is cut when the store goes back", async (t) => {
  const { store, call } = await openStore(t);
  const after = await put(call, "a");
  const path = `kv-watch?prefix=&after=${after}&wait_ms=${LONG_POLL_MS}`;
  const opened = store.store.counters.watches;
  const poll = assert.rejects(call("GET", path));
  while (store.store.counters.watches === opened) await nextTurn();
  await store.restore(store.copy());
  await poll;
});

// Leases of the copy go on, without the keys that were written under them since.
test("leases since the copy are gone, and so are all later keys", async (t) => {
  const { store, call } = await openStore(t);
  const kept = await grant(call);
  await put(call, "before", kept);
  const copy = store.copy();
  await put(call, "since", kept);
  const lost = await grant(call);
  await put(call, "under-lost", lost);
  await store.restore(copy);
  assert.equal((await renew(call, kept)).status, 200);
  assert.equal((await renew(call, lost)).status, 404);
  const found = JSON.parse((await call("GET", "kv-range?prefix=")).body);
  assert.deepEqual(
    found.items.map(({ key }: { key: string }) => key),
    ["before"],
  );
  assert.equal(await grant(call), lost);
  await call("DELETE", `kv-lease-end/${kept}`);
  assert.equal((await call("GET", "kv-key?key=before")).status, 404);
});

// A commit that arrives before the restore and takes effect after it is no write of either era.
test("slow commit has no effect on the restored store", async (t) => {
  const { store, call } = await openStore(t);
  const copy = store.copy();
  store.store.faults.slowMs = AWAY_MS;
  const sent = store.store.counters.writes;
  const slow = assert.rejects(put(call, "slow"));
  while (store.store.counters.writes === sent) await nextTurn();
  await store.restore(copy);
  await slow;
  await new Promise((resolve) => setTimeout(resolve, 2 * AWAY_MS));
  store.store.faults.slowMs = 0;
  assert.equal((await call("GET", "kv-key?key=slow")).status, 404);
});

// A store that answers while it is away is no fault for its clients.
test("store accepts no connections while it is away", async (t) => {
  const { store, call } = await openStore(t);
  const { address } = store;
  const restored = store.restore(store.copy(), { awayMs: AWAY_MS });
  await assert.rejects(call("GET", "kv-range?prefix="));
  await restored;
  assert.equal(store.address, address);
  assert.equal((await call("GET", "kv-range?prefix=")).status, 200);
});

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
