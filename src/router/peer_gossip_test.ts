import assert from "node:assert/strict";
import { createSocket, type Socket } from "node:dgram";
import { createServer, type Server } from "node:http";
import { test, type TestContext } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import fc from "fast-check";
import {
  type ClientResponse,
  MODEL_REQUEST_HEADERS,
  resumeHeaders,
  sendClientRequest,
} from "../standin/mod.ts";
import { openWorld, stateContains, until, type World } from "./_world.ts";
import { silentLog, TestClock } from "./_kit.ts";
import { gossipIntervalFor } from "./gossip_interval.ts";
import { StoreMirror } from "./mirror.ts";
import { ENTRIES_PREFIX, Registration } from "./registration.ts";
import { positionAt } from "../store/position.ts";

const SEED = 20_261_203;
/** Duration of the store outage. */
const OUTAGE_MS = 9000;
/** How long requests may still reach a server after the store accepted its deregistration. */
const DRAIN_MS = 2000;
const MAX_DATAGRAMS = 300;

/** A valid datagram without any news. */
const EMPTY_DATAGRAM = {
  name: "fake",
  revision: "0",
  ageMs: 0,
  loads: [],
  prompts: [],
  heldBack: [],
  silent: [],
  storeServes: false,
  weights: [],
  named: [],
};

/** Acts as another entry towards the tested one, with datagrams and HTTP answers set by the test. */
class FakePeer {
  readonly #socket: Socket;
  readonly #control: Server;
  readonly #world: World;
  /** HTTP answer bodies by path. */
  readonly answers = new Map<string, string>();
  /** Paths that were requested. */
  readonly asked: string[] = [];

  private constructor(world: World, socket: Socket, control: Server) {
    this.#world = world;
    this.#socket = socket;
    this.#control = control;
  }

  static async create(t: TestContext, world: World): Promise<FakePeer> {
    const ipAddress = "127.0.0.9";
    const socket = createSocket("udp4");
    const control = createServer((request, response) => {
      const [path = ""] = (request.url ?? "").split("?");
      peer.asked.push(path);
      response.end(peer.answers.get(path) ?? "{}");
    });
    const peer = new FakePeer(world, socket, control);
    t.after(() => peer.#close());
    await new Promise<void>((resolve) =>
      socket.bind(world.peerPort, ipAddress, resolve)
    );
    await new Promise<void>((resolve) =>
      control.listen(world.controlPort, ipAddress, resolve)
    );
    return peer;
  }

  /** Sends one datagram, and lets the entry read it, as a full socket buffer drops the next ones. */
  async send(bytes: Uint8Array): Promise<void> {
    const { peerPort, ipAddress } = this.#world;
    await new Promise<void>((resolve, reject) => {
      this.#socket.send(bytes, peerPort, ipAddress, (error) => {
        if (error) reject(error);
        else resolve();
      });
    });
    await nextTurn();
  }

  sendFields(fields: object): Promise<void> {
    return this.send(
      Buffer.from(JSON.stringify({ ...EMPTY_DATAGRAM, ...fields })),
    );
  }

  #close(): void {
    this.#socket.close();
    this.#control.close();
    this.#control.closeAllConnections();
  }
}

/** Asserts that the entry still serves, follows the store, and applies valid datagrams of a peer. */
async function assertEntryWorks(world: World, peer: FakePeer): Promise<void> {
  await until(async () => {
    // Repeated, as datagrams may be lost.
    await peer.sendFields({ weights: [["i-1", "m", 9]] });
    return stateContains(world, '"entries":2');
  });
  await world.worker("i-last");
  assert.equal((await askUntilAccepted(world)).status, 200);
}

/**
 * Sends a request until it is not refused by the entry itself. An entry that lags behind the store
 * answers 503 without a server, and with a time to retry after.
 */
async function askUntilAccepted(world: World): Promise<ClientResponse> {
  while (true) {
    const answer = await sendClientRequest(world, "/look/a");
    const isRefusedByEntry = answer.status === 503 &&
      answer.headers["attempt-id"] === undefined;
    if (!isRefusedByEntry) return answer;
    assert.ok(Number(answer.headers["retry-after"]) > 0);
  }
}

test("datagram with a missing or mistyped field is ignored", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  for (const name of Object.keys(EMPTY_DATAGRAM)) {
    for (const value of [undefined, null, {}, "x", [null], [["i-1"]]]) {
      if (name === "name" && value === "x") continue;
      await peer.sendFields({
        loads: [["i-1", 7, 7, 7]],
        heldBack: ["i-1"],
        [name]: value,
      });
    }
  }
  await peer.sendFields({ loads: [["i-1", "7", "7", "7"]] });
  await peer.sendFields({ loads: [["i-1", 1e400, 1, 1]] });
  for (const text of ["null", "1", "[]", "{}", "", "{"]) {
    await peer.send(Buffer.from(text));
  }
  await assertEntryWorks(world, peer);
  assert.ok(!stateContains(world, '"running":7'));
  assert.ok(!stateContains(world, '"heldBack":true'));
});

test("datagram with a malformed optional field is ignored", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  const later = [
    "gone",
    "changingNext",
    "era",
    "leaving",
    "ended",
    "cleared",
    "startedAtMs",
    "taken",
    "paces",
  ];
  for (const name of later) {
    for (const value of [null, {}, "x", [null], [[7]], ["i-1", 7]]) {
      await peer.sendFields({ heldBack: ["i-1"], [name]: value });
    }
  }
  await assertEntryWorks(world, peer);
  assert.ok(!stateContains(world, '"heldBack":true'));
});

test("datagrams of random bytes or fields are ignored", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  const fields = fc.dictionary(
    fc.constantFrom(...Object.keys(EMPTY_DATAGRAM)),
    fc.jsonValue(),
    { minKeys: 1 },
  );
  for (const bytes of fc.sample(fc.uint8Array(), { seed: SEED, numRuns: 50 })) {
    await peer.send(bytes);
  }
  for (const told of fc.sample(fields, { seed: SEED, numRuns: 200 })) {
    await peer.sendFields(told);
  }
  await assertEntryWorks(world, peer);
});

test("malformed HTTP answers of a peer are ignored", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  const { era } = world.store.store;
  const relay = { revision: "99999", era, ageMs: 0, isAll: false, deletes: [] };
  const entry = { value: "", modRevision: "99998", createRevision: "1" };
  const bodies = [
    {},
    { ...relay, entries: [entry] },
    { ...relay, entries: [null] },
    { ...relay, entries: [{ ...entry, key: 1 }] },
    { ...relay, entries: [{ ...entry, key: "a", value: 1 }] },
    { ...relay, entries: [], ageMs: "x" },
    { ...relay, entries: [], confirmed: { origin: 1 } },
    { ...relay, entries: [], revision: "x" },
    { ...relay, entries: [], deletes: [{ revision: "99998" }] },
  ];
  peer.answers.set("/cached", JSON.stringify({ lessons: [{ id: "i-1" }] }));
  for (const body of bodies) {
    peer.answers.set("/relay", JSON.stringify(body));
    const before = peer.asked.length;
    while (!peer.asked.slice(before).includes("/relay")) {
      await peer.sendFields({ revision: "99999", era });
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }
  await until(() => peer.asked.includes("/cached"));
  await assertEntryWorks(world, peer);
  assert.ok(!stateContains(world, '"storeRevision":"99999"'));
});

// A peer may be the only one that has seen the restore, also with a lower revision than this entry's.
test("entry without the store follows a peer to a newer era", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  world.link.silent();
  const catchup = {
    revision: "3",
    era: 7,
    ageMs: 0,
    isAll: true,
    entries: [],
    deletes: [],
  };
  peer.answers.set("/relay", JSON.stringify(catchup));
  await until(async () => {
    await peer.sendFields({ revision: "3", era: 7 });
    return stateContains(world, '"storeEra":7,"storeRevision":"3"');
  });
});

/** Opens a world whose entry lost the store and learns from a peer that a registration is deleted. */
async function openWithRelayedDeletion(
  t: TestContext,
  told: { storeServedMs: number },
): Promise<World> {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  world.link.silent();
  world.clock.aheadMs += OUTAGE_MS;
  await until(() => stateContains(world, '"storeConnected":false'));
  const revision = "99999";
  const deletes = [{ key: "servers/i-1", revision }];
  const catchup = {
    revision,
    era: world.store.store.era,
    ageMs: 0,
    isAll: false,
    entries: [],
    deletes,
  };
  peer.answers.set("/relay", JSON.stringify(catchup));
  await until(async () => {
    await peer.sendFields({
      revision,
      era: world.store.store.era,
      storeServes: true,
      ...told,
    });
    return stateContains(world, '"storeRevision":"99999"');
  });
  return world;
}

// Guards against dropping a live server in a store outage. An entry reports contact with the store
// until it detects that its own watch is silent, up to 2.2 s late, and peers used to trust the report
// for 1 s more. A registration that lapsed then counted as deleted, and its server was not used until
// its next heartbeat.
test("deletion relayed by a peer without store contact since the outage keeps the server", async (t) => {
  const world = await openWithRelayedDeletion(t, {
    storeServedMs: OUTAGE_MS + 1000,
  });
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
});

test("deletion relayed by a peer with current store contact drops the server", async (t) => {
  const world = await openWithRelayedDeletion(t, { storeServedMs: 0 });
  assert.equal((await sendClientRequest(world, "/book/a")).status, 503);
});

/*
 * Guards against using a deleted server for too long. An entry detects the loss of the store up to 2 s
 * late. If a peer relayed a deletion from just before the detection, the entry used to keep the server
 * until the store answered a peer again: with 30 entries, 0.6 s (their coalescing delay) plus 1.56 s
 * (a watch's wait) later.
 */
test("deletion that a peer received shortly before the outage is detected drops the server in time", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  world.link.silent();
  await until(() => stateContains(world, '"storeConnected":false'));
  const deletedAtMs = world.clock.nowMs() - 100;
  // Stops the entry's clock, so that a later reaction doesn't count; its loops continue.
  setTimeout(() => world.clock.stop(), DRAIN_MS - 100).unref();
  const revision = "99999";
  const deletes = [{ key: "servers/i-1", revision }];
  const catchup = {
    revision,
    era: world.store.store.era,
    ageMs: 0,
    isAll: false,
    entries: [],
    deletes,
  };
  peer.answers.set("/relay", JSON.stringify(catchup));
  for (let sent = 0; stateContains(world, '"i-1"'); sent++) {
    const storeServedMs = Math.round(world.clock.nowMs() - deletedAtMs);
    assert.ok(sent < MAX_DATAGRAMS, "the deleted server is still in use");
    await peer.sendFields({
      revision,
      era: world.store.store.era,
      storeServes: true,
      storeServedMs,
    });
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
});

/** Number of tokens that an entry expects in a server's cache. */
async function expectedCacheTokens(world: World, id: string): Promise<number> {
  const { ipAddress, controlPort } = world;
  const response = await fetch(`http://${ipAddress}:${controlPort}/cached`);
  const { lessons } = await response.json() as {
    lessons: { id: string; parts: [string, number][] }[];
  };
  const parts = lessons.find((lesson) => lesson.id === id)?.parts ?? [];
  return parts.reduce((sum, [, tokens]) => sum + tokens, 0);
}

test("peer reports about a server's earlier process are not applied to the new one", async (t) => {
  const world = await openWorld(t);
  const worker = await world.engine("i-1");
  const other = await world.engine("i-2");
  const peer = await FakePeer.create(t, world);
  const former = worker.bornAtMs - 1;
  const parts = [["p", 10]];
  await peer.sendFields({
    weights: [["i-1", "m", 9, former]],
    prompts: [["i-1", "s", 0, parts, former]],
  });
  await peer.sendFields({ prompts: [["i-2", "s", 0, parts, other.bornAtMs]] });
  await until(async () => await expectedCacheTokens(world, "i-2") === 10);
  assert.equal(await expectedCacheTokens(world, "i-1"), 0);
  // The server would not be ordered to load weights that it is thought to have already.
  await world.store.put("op/version/m", { model: "m", version: 9 });
  await until(() => worker.version === 9);
});

test("expected caches of earlier processes are not taken from peers", async (t) => {
  const world = await openWorld(t);
  const worker = await world.engine("i-1");
  const other = await world.engine("i-2");
  const peer = await FakePeer.create(t, world);
  const parts = [["s/p", 10]];
  const lessons = [
    { id: "i-1", bornAtMs: worker.bornAtMs - 1, parts },
    { id: "i-2", bornAtMs: other.bornAtMs, parts },
  ];
  peer.answers.set("/cached", JSON.stringify({ lessons }));
  await peer.sendFields({});
  await until(async () => await expectedCacheTokens(world, "i-2") === 10);
  assert.equal(await expectedCacheTokens(world, "i-1"), 0);
});

test("registered values that are no IPv4 address are ignored", () => {
  const mirror = StoreMirror.create(new TestClock());
  const values = ["10.0.0.1", "host.example", "", "10.0.0.1:80", "::1", "\xff"];
  values.forEach((value, i) => {
    const position = positionAt(0, BigInt(i + 1));
    const entry = {
      key: `${ENTRIES_PREFIX}${i}`,
      value: Buffer.from(value, "latin1"),
      modPosition: position,
      createPosition: position,
    };
    mirror.applyStep({ kind: "put", entry });
  });
  const registration = Registration.create({
    mirror,
    clock: new TestClock(),
    log: silentLog,
    instance: "entry-1",
    ipAddress: "10.0.0.9",
    random: () => 0.5,
    store: undefined as never,
  });
  assert.deepEqual(registration.ipAddresses(), ["10.0.0.1"]);
});

// Guards against gossip that uses up the CPU: at a fixed interval of 50 ms, each of 68 entries received
// 1,340 datagrams per second.
test("gossip interval grows with the number of entries", () => {
  const heardPerSecond = (entryCount: number) =>
    (entryCount - 1) * 1000 / gossipIntervalFor(entryCount);
  for (const entryCount of [2, 6, 31, 68]) {
    assert.ok(heardPerSecond(entryCount) <= 125);
  }
  // A reported load counts for 1.5 s, so it must outlive one lost datagram.
  assert.ok(gossipIntervalFor(1000) * 2 < 1500);
});

test("entry learns from a peer that a service has a second software version", async (t) => {
  const world = await openWorld(t);
  const peer = await FakePeer.create(t, world);
  await world.worker("i-1", { model: "m", softwareVersion: "v1" });
  const headers = {
    ...MODEL_REQUEST_HEADERS,
    ...resumeHeaders({ firstId: "unheard-of", lastEventId: 2 }),
  };
  const takeUp = () => sendClientRequest(world, "/stream/a", headers);
  assert.equal((await takeUp()).status, 200);
  await peer.sendFields({ software: [["engines", 7, 0]] });
  assert.equal((await takeUp()).status, 200);
  await until(async () => {
    // Repeated, as datagrams may be lost.
    await peer.sendFields({ software: [["engines", "v1.1", 0]] });
    return (await takeUp()).status === 503;
  });
  assert.equal(world.workers[0]!.refused, 0);
});
