import assert from "node:assert/strict";
import { createSocket, type Socket } from "node:dgram";
import { createServer, type Server } from "node:http";
import { test, type TestContext } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import fc from "fast-check";
import { ask, type Asked } from "../standin/mod.ts";
import { knows, openWorld, until, type World } from "./_world.ts";
import { silentLog, TestClock } from "./_kit.ts";
import { tellPauseMs } from "./tell_pace.ts";
import { StoreMirror } from "./mirror.ts";
import { ENTRIES_PREFIX, Registration } from "./registration.ts";

const SEED = 20_261_203;
/** Time without an answer of the store. */
const OUTAGE_MS = 9000;
/** Requests may reach a server for this long after the store has taken that it leaves. */
const DRAIN_MS = 2000;
const MAX_TELLINGS = 300;

/** A datagram that tells nothing new. */
const TOLD = {
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

/** Something that speaks to an entry as another one does. */
class FakePeer {
  readonly #socket: Socket;
  readonly #control: Server;
  readonly #world: World;
  /** Answers by path. */
  readonly answers = new Map<string, string>();
  /** Paths that were asked for. */
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

  /** Sends one datagram, and lets it be read: a full buffer drops what comes next. */
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

  tell(fields: object): Promise<void> {
    return this.send(Buffer.from(JSON.stringify({ ...TOLD, ...fields })));
  }

  #close(): void {
    this.#socket.close();
    this.#control.close();
    this.#control.closeAllConnections();
  }
}

/** The entry still serves, hears of the store, and takes in what a proper peer tells. */
async function assertSound(world: World, peer: FakePeer): Promise<void> {
  await until(async () => {
    // Datagrams may be lost.
    await peer.tell({ weights: [["i-1", "m", 9]] });
    return knows(world, '"entries":2');
  });
  await world.worker("i-last");
  assert.equal((await askWhenTaken(world)).status, 200);
}

/** An entry that is behind turns requests away, which it answers by itself, and says when to return. */
async function askWhenTaken(world: World): Promise<Asked> {
  while (true) {
    const asked = await ask(world, "/look/a");
    const isTurnedAway = asked.status === 503 &&
      asked.headers["attempt-id"] === undefined;
    if (!isTurnedAway) return asked;
    assert.ok(Number(asked.headers["retry-after"]) > 0);
  }
}

test("datagram with fields missing or of another type changes nothing", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  for (const name of Object.keys(TOLD)) {
    for (const value of [undefined, null, {}, "x", [null], [["i-1"]]]) {
      if (name === "name" && value === "x") continue;
      await peer.tell({
        loads: [["i-1", 7, 7, 7]],
        heldBack: ["i-1"],
        [name]: value,
      });
    }
  }
  await peer.tell({ loads: [["i-1", "7", "7", "7"]] });
  await peer.tell({ loads: [["i-1", 1e400, 1, 1]] });
  for (const text of ["null", "1", "[]", "{}", "", "{"]) {
    await peer.send(Buffer.from(text));
  }
  await assertSound(world, peer);
  assert.ok(!knows(world, '"running":7'));
  assert.ok(!knows(world, '"heldBack":true'));
});

test("datagram whose fields of later releases are malformed changes nothing", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  const later = [
    "gone",
    "changingNext",
    "leaving",
    "ended",
    "cleared",
    "startedAtMs",
    "taken",
  ];
  for (const name of later) {
    for (const value of [null, {}, "x", [null], [[7]], ["i-1", 7]]) {
      await peer.tell({ heldBack: ["i-1"], [name]: value });
    }
  }
  await assertSound(world, peer);
  assert.ok(!knows(world, '"heldBack":true'));
});

test("datagrams of any bytes change nothing", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  const fields = fc.dictionary(
    fc.constantFrom(...Object.keys(TOLD)),
    fc.jsonValue(),
    { minKeys: 1 },
  );
  for (const bytes of fc.sample(fc.uint8Array(), { seed: SEED, numRuns: 50 })) {
    await peer.send(bytes);
  }
  for (const told of fc.sample(fields, { seed: SEED, numRuns: 200 })) {
    await peer.tell(told);
  }
  await assertSound(world, peer);
});

test("peer that answers with something else teaches nothing", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  const relay = { revision: "99999", ageMs: 0, isAll: false, deletes: [] };
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
      await peer.tell({ revision: "99999" });
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }
  await until(() => peer.asked.includes("/cached"));
  await assertSound(world, peer);
  assert.ok(!knows(world, '"storeRevision":"99999"'));
});

/** A world whose entry has lost the store, where only a peer tells that a server's registration is gone. */
async function hearDeletion(
  t: TestContext,
  told: { storeServedMs: number },
): Promise<World> {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  world.link.silent();
  world.clock.aheadMs += OUTAGE_MS;
  await until(() => knows(world, '"storeConnected":false'));
  const revision = "99999";
  const deletes = [{ key: "servers/i-1", revision }];
  const catchup = { revision, ageMs: 0, isAll: false, entries: [], deletes };
  peer.answers.set("/relay", JSON.stringify(catchup));
  await until(async () => {
    await peer.tell({ revision, storeServes: true, ...told });
    return knows(world, '"storeRevision":"99999"');
  });
  return world;
}

// An entry says that the store serves it until it finds its own watch silent, up to 2.2 s late, and
// peers counted that word for 1 s more from when they heard it. In an outage of the store a server
// whose registration lapsed was so dropped until its next heartbeat, though it lived.
test("server is kept whose lapse a peer tells that was served before the loss only", async (t) => {
  const world = await hearDeletion(t, { storeServedMs: OUTAGE_MS + 1000 });
  assert.equal((await ask(world, "/book/a")).status, 200);
});

test("server is dropped whose leaving a peer tells that the store serves since", async (t) => {
  const world = await hearDeletion(t, { storeServedMs: 0 });
  assert.equal((await ask(world, "/book/a")).status, 503);
});

/*
 * An entry that loses the store notices it up to 2 s later. Of a deletion that the store told the
 * other entries just before, it heard after that, and kept the server until the store answered a peer
 * once more: with 30 entries, 0.6 s (their pause after changes) and 1.56 s (a watch's wait) later.
 */
test("server whose leaving a peer heard just before the loss is noticed is let go in time", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  const peer = await FakePeer.create(t, world);
  world.link.silent();
  await until(() => knows(world, '"storeConnected":false'));
  const deletedAtMs = world.clock.nowMs() - 100;
  // What it does later, by its own clock, is too late; its loops go on.
  setTimeout(() => world.clock.stop(), DRAIN_MS - 100).unref();
  const revision = "99999";
  const deletes = [{ key: "servers/i-1", revision }];
  const catchup = { revision, ageMs: 0, isAll: false, entries: [], deletes };
  peer.answers.set("/relay", JSON.stringify(catchup));
  for (let told = 0; knows(world, '"i-1"'); told++) {
    const storeServedMs = Math.round(world.clock.nowMs() - deletedAtMs);
    assert.ok(told < MAX_TELLINGS, "The server is used still");
    await peer.tell({ revision, storeServes: true, storeServedMs });
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
});

/** Tokens that an entry expects in a server's cache. */
async function taughtTokens(world: World, id: string): Promise<number> {
  const { ipAddress, controlPort } = world;
  const response = await fetch(`http://${ipAddress}:${controlPort}/cached`);
  const { lessons } = await response.json() as {
    lessons: { id: string; parts: [string, number][] }[];
  };
  const parts = lessons.find((lesson) => lesson.id === id)?.parts ?? [];
  return parts.reduce((sum, [, tokens]) => sum + tokens, 0);
}

test("word of a peer about a server's former start doesn't count for the new one", async (t) => {
  const world = await openWorld(t);
  const worker = await world.engine("i-1");
  const other = await world.engine("i-2");
  const peer = await FakePeer.create(t, world);
  const former = worker.bornAtMs - 1;
  const parts = [["p", 10]];
  await peer.tell({
    weights: [["i-1", "m", 9, former]],
    prompts: [["i-1", "s", 0, parts, former]],
  });
  await peer.tell({ prompts: [["i-2", "s", 0, parts, other.bornAtMs]] });
  await until(async () => await taughtTokens(world, "i-2") === 10);
  assert.equal(await taughtTokens(world, "i-1"), 0);
  // A server that is thought to have them already is not ordered.
  await world.store.put("op/version/m", { model: "m", version: 9 });
  await until(() => worker.version === 9);
});

test("caches of former starts are not learned", async (t) => {
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
  await peer.tell({});
  await until(async () => await taughtTokens(world, "i-2") === 10);
  assert.equal(await taughtTokens(world, "i-1"), 0);
});

test("entry whose registered address is none is not told", () => {
  const mirror = StoreMirror.create(new TestClock());
  const values = ["10.0.0.1", "host.example", "", "10.0.0.1:80", "::1", "\xff"];
  values.forEach((value, i) => {
    const revision = BigInt(i + 1);
    const entry = {
      key: `${ENTRIES_PREFIX}${i}`,
      value: Buffer.from(value, "latin1"),
      modRevision: revision,
      createRevision: revision,
    };
    mirror.follow({ kind: "put", entry });
  });
  const registration = Registration.create({
    mirror,
    clock: new TestClock(),
    log: silentLog,
    instance: "entry-1",
    ipAddress: "10.0.0.9",
    store: undefined as never,
  });
  assert.deepEqual(registration.ipAddresses(), ["10.0.0.1"]);
});

// With 68 entries each heard 1,340 datagrams a second; days were given up for their processor time.
test("entries tell each other less often the more there are", () => {
  const heardPerSecond = (entryCount: number) =>
    (entryCount - 1) * 1000 / tellPauseMs(entryCount);
  for (const entryCount of [2, 6, 31, 68]) {
    assert.ok(heardPerSecond(entryCount) <= 125);
  }
  // Loads are believed for 1.5 s, so that one lost datagram does not end that.
  assert.ok(tellPauseMs(1000) * 2 < 1500);
});
