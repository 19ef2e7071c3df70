import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { positionAt, type StorePosition } from "../store/position.ts";
import { silentLog, TestClock } from "./_kit.ts";
import { closeServer, serveControl } from "./control.ts";
import { StoreMirror } from "./mirror.ts";
import { relayAnswer, RelayClient } from "./relay.ts";

const LOOPBACK = "127.0.0.1";
const LAG_MS = 1000;

interface Entry {
  mirror: StoreMirror;
  clock: TestClock;
}

/** Creates an entry whose replica has these keys, all written at the replica's position. */
function createEntry(position: StorePosition, ...keys: string[]): Entry {
  const clock = new TestClock();
  const mirror = StoreMirror.create(clock);
  const entries = keys.map((key) => ({
    key,
    value: Buffer.from(key),
    modPosition: position,
    createPosition: position,
  }));
  mirror.replace({ entries, position });
  return { mirror, clock };
}

/** Serves the entry's replica to other entries. */
async function serve(t: TestContext, { mirror }: Entry): Promise<number> {
  const server = await serveControl({ ipAddress: LOOPBACK, port: 0 }, {
    relay: (after) => relayAnswer(mirror, after),
    expectedCaches: () => "{}",
    metrics: () => "",
    state: () => ({}),
  });
  t.after(() => closeServer(server));
  return (server.address() as AddressInfo).port;
}

/** Serves a fixed body, and records the requested targets. */
async function serveBody(
  t: TestContext,
  body: object,
): Promise<{ port: number; targets: string[] }> {
  const targets: string[] = [];
  const server = createServer((request, response) => {
    targets.push(request.url!);
    response.end(JSON.stringify(body));
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  t.after(() => closeServer(server));
  return { port: (server.address() as AddressInfo).port, targets };
}

function clientOf({ mirror, clock }: Entry, controlPort: number): RelayClient {
  return RelayClient.create({
    mirror,
    clock,
    log: silentLog,
    controlPort,
    coalesceMs: () => 0,
  });
}

/** Reports a peer's sync state for longer than an entry waits for its own watch. */
async function report(
  client: RelayClient,
  entry: Entry,
  position: StorePosition,
): Promise<void> {
  await client.onPeerSyncState(LOOPBACK, { position });
  entry.clock.advance(LAG_MS);
  await client.onPeerSyncState(LOOPBACK, { position });
}

function contentOf({ mirror }: Entry): unknown {
  return { position: mirror.position, entries: mirror.entries("") };
}

// An entry that the store doesn't serve would keep the state before the restore for good.
test("entry adopts a restored replica of a peer with a lower revision", async (t) => {
  const peer = createEntry(positionAt(2, 4n), "a", "b");
  const entry = createEntry(positionAt(1, 9n), "a", "lost");
  const client = clientOf(entry, await serve(t, peer));
  await report(client, entry, peer.mirror.position);
  assert.deepEqual(contentOf(entry), contentOf(peer));
});

// A peer that is still in the era before would undo the restore, as its revision is higher.
test("entry doesn't ask a peer of an earlier era, or believe its answer", async (t) => {
  const peer = createEntry(positionAt(1, 9n), "lost");
  const entry = createEntry(positionAt(2, 4n), "a");
  const before = contentOf(entry);
  const client = clientOf(entry, await serve(t, peer));
  await report(client, entry, peer.mirror.position);
  assert.ok(await client.ask(LOOPBACK));
  assert.deepEqual(contentOf(entry), before);
});

// Two entries that the store doesn't serve would keep each other from asking a third one.
test("peer that is equally far behind doesn't keep an entry from catching up", async (t) => {
  const ahead = createEntry(positionAt(2, 4n), "a");
  const behind = createEntry(positionAt(1, 9n), "lost");
  const entry = createEntry(positionAt(1, 9n), "lost");
  const client = clientOf(entry, await serve(t, ahead));
  for (const peer of [ahead, behind, ahead, behind, ahead]) {
    const { position } = peer.mirror;
    await client.onPeerSyncState(LOOPBACK, { position });
    entry.clock.advance(LAG_MS);
  }
  assert.deepEqual(contentOf(entry), contentOf(ahead));
});

// Single changes are taken over with their positions, or a later one would count as older.
test("changes that a peer relays keep the era", async (t) => {
  const peer = createEntry(positionAt(2, 4n), "a", "b");
  const entry = createEntry(positionAt(2, 4n), "a", "b");
  const position = positionAt(2, 5n);
  const value = Buffer.from("new");
  peer.mirror.applyStep({
    kind: "put",
    entry: { key: "a", value, modPosition: position, createPosition: position },
  });
  peer.mirror.applyStep({
    kind: "delete",
    key: "b",
    position: positionAt(2, 6n),
  });
  const client = clientOf(entry, await serve(t, peer));
  await report(client, entry, peer.mirror.position);
  assert.deepEqual(contentOf(entry), contentOf(peer));
});

// Entries of the last release name no era, and read the revision alone.
test("entries of the last release are understood, and understand the answer", async (t) => {
  const old = {
    revision: "9",
    ageMs: 0,
    isAll: true,
    entries: [{ key: "a", value: "", modRevision: "8", createRevision: "7" }],
    deletes: [],
  };
  const started: Entry = {
    clock: new TestClock(),
    mirror: StoreMirror.create(new TestClock()),
  };
  const { port, targets } = await serveBody(t, old);
  assert.ok(await clientOf(started, port).ask(LOOPBACK));
  assert.deepEqual(started.mirror.position, positionAt(0, 9n));
  assert.deepEqual(targets, ["/relay?after=0&era=0"]);
  const restored = createEntry(positionAt(2, 4n), "a");
  const before = contentOf(restored);
  assert.ok(await clientOf(restored, port).ask(LOOPBACK));
  assert.deepEqual(contentOf(restored), before);
  const controlPort = await serve(t, restored);
  const answer = await fetch(
    `http://${LOOPBACK}:${controlPort}/relay?after=9`,
  );
  const body = await answer.json() as Record<string, unknown>;
  assert.deepEqual([body["revision"], body["isAll"]], ["4", true]);
});

// A malformed era taken for none would let an answer pass as one of the last release.
test("answer with a malformed era is ignored", async (t) => {
  const entry = createEntry(positionAt(0, 1n));
  for (const era of [-1, 1.5, "2", null]) {
    const body = { revision: "9", ageMs: 0, entries: [], deletes: [] };
    const { port } = await serveBody(t, { ...body, isAll: true, era });
    assert.equal(await clientOf(entry, port).ask(LOOPBACK), false);
  }
  assert.deepEqual(entry.mirror.position, positionAt(0, 1n));
});
