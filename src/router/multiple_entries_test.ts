import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import {
  completeStreamBody,
  CONFIG,
  HOST,
  KEY,
  MODEL_REQUEST_HEADERS,
  sendClientRequest,
} from "../standin/mod.ts";
import { openWorld, stateContains, type TestEntry, until } from "./_world.ts";

const OTHER_KEY = { authorization: "Bearer other" };

test("entry without store contact learns from its peer", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [, far] = world.entries;
  const worker = await world.worker("i-1");
  await until(() => stateContains(far!, "i-1"));
  far!.link.down();
  await world.store.putConfig({ ...CONFIG, version: 2 });
  await until(() => stateContains(far!, '"configVersion":2'));
  await world.worker("i-2");
  await until(() => stateContains(far!, "i-2"));
  await world.store.delete("servers/i-1");
  await until(() => !stateContains(far!, "i-1"));
  worker.runs.length = 0;
  assert.equal((await sendClientRequest(far!, "/book/a")).status, 200);
  assert.equal(worker.runs.length, 0);
});

test("entry without store contact applies a deletion told by a peer with contact", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [away, served] = world.entries;
  const leaving = await world.worker("i-1");
  await until(() => stateContains(served!, "i-1"));
  // Wait until the peer has had store contact long enough to vouch for the store's state.
  for (const version of [2, 3, 4]) {
    for (const { clock } of world.entries) clock.aheadMs += 1000;
    await world.store.putConfig({ ...CONFIG, version });
    await until(() =>
      world.entries.every((entry) =>
        stateContains(entry, `"configVersion":${version}`)
      )
    );
  }
  away!.link.down();
  await until(() => stateContains(away!, '"storeConnected":false'));
  await world.store.delete("servers/i-1");
  await until(() => !stateContains(away!, "i-1"));
  assert.ok(stateContains(away!, '"storeConnected":false'));
  assert.equal((await sendClientRequest(away!, "/book/a")).status, 503);
  assert.equal(leaving.runs.length, 0);
});

test("entry that starts while the store is down learns from a peer", async (t) => {
  const world = await openWorld(t, { entryCount: 2 });
  const [, second] = world.entries;
  await world.worker("i-1");
  await world.store.down();
  await second!.router.stop();
  const again = await world.restart(second!);
  await until(() => stateContains(again, "i-1"));
  assert.equal((await sendClientRequest(again, "/book/a")).status, 200);
  assert.equal(
    (await sendClientRequest(again, "/book/a", OTHER_KEY)).status,
    401,
  );
});

test("entry without store contact refuses unknown keys as unavailable", async (t) => {
  const world = await openWorld(t);
  await world.worker("i-1");
  assert.equal(
    (await sendClientRequest(world, "/book/a", OTHER_KEY)).status,
    401,
  );
  assert.equal((await sendClientRequest(world, "/none/a")).status, 404);
  world.link.down();
  world.entries[0]!.clock.aheadMs = 5000;
  for (const path of ["/book/a", "/none/a"]) {
    const asked = await sendClientRequest(world, path, OTHER_KEY);
    assert.equal(asked.status, 503);
    assert.ok(Number(asked.headers["retry-after"]) > 0);
  }
  assert.equal((await sendClientRequest(world, "/book/a")).status, 200);
});

test("lease holder without store contact is succeeded under a higher fencing number", async (t) => {
  const orderTurnMs = 300;
  const world = await openWorld(t, { entryCount: 3, orderTurnMs });
  const workers = [await world.engine("i-1"), await world.engine("i-2")];
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => workers.every(({ version }) => version === 2));
  const holder = world.entries.find((entry) =>
    stateContains(entry, '"holdsRollLease":true')
  );
  assert.ok(holder);
  holder.link.down();
  await world.store.put("op/version/m", { model: "m", version: 3 });
  await until(() => workers.every(({ version }) => version === 3));
  for (const { orders } of workers) {
    assert.deepEqual(orders.map(({ version }) => version), [2, 3]);
    const [before, after] = orders;
    assert.notEqual(before!.holder, after!.holder);
    assert.ok(before!.fencingToken < after!.fencingToken);
    assert.ok(after!.atMs - before!.atMs >= orderTurnMs);
  }
});

test("frozen lease holder gives no orders after it wakes up", async (t) => {
  const world = await openWorld(t, { entryCount: 2, orderTurnMs: 300 });
  const workers = [await world.engine("i-1"), await world.engine("i-2")];
  await world.store.put("op/version/m", { model: "m", version: 2 });
  await until(() => workers.every(({ version }) => version === 2));
  const holder = world.entries.find((entry) =>
    stateContains(entry, '"holdsRollLease":true')
  );
  assert.ok(holder);
  // By the holder's own clock the lease has expired, although no message said so.
  holder.link.freezeOpen();
  holder.clock.aheadMs = 10_000;
  assert.ok(stateContains(holder, '"holdsRollLease":false'));
  await world.store.put("op/version/m", { model: "m", version: 3 });
  await until(() => workers.every(({ version }) => version === 3));
  const orders = workers.flatMap(({ orders }) => orders);
  const byToken = new Map<number, string>();
  for (const { fencingToken, holder } of orders) {
    assert.equal(byToken.get(fencingToken) ?? holder, holder);
    byToken.set(fencingToken, holder);
  }
});

test("resends of all entries stay within the shared budget", async (t) => {
  const world = await openWorld(t, { entryCount: 8 });
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  for (const entry of world.entries) {
    await until(() =>
      stateContains(entry, "i-2") && stateContains(entry, '"entries":8')
    );
  }
  for (const worker of workers) worker.faults.loseAnswer = 1000;
  const rounds = 20;
  for (let i = 0; i < rounds; i++) {
    await Promise.all(
      world.entries.map((entry) => sendClientRequest(entry, "/look/a")),
    );
  }
  const requests = rounds * world.entries.length;
  const arrivals = workers.flatMap(({ runs }) => runs).length;
  // Limit of the deployments: a fifth of the requests, plus 54.
  assert.ok(arrivals > requests);
  assert.ok(
    arrivals - requests <= requests * 0.2 + 54,
    `${arrivals} for ${requests}`,
  );
});

// A restarted process treated its share of the common resend budget as unspent: eight entries that
// restarted between two batches of 80 requests resent 96 of these 160, although 86 were allowed.
test("resends stay within the shared budget when all entries restart", async (t) => {
  const world = await openWorld(t, { entryCount: 8 });
  const workers = [await world.worker("i-1"), await world.worker("i-2")];
  const meet = (entries: TestEntry[]) =>
    until(() =>
      entries.every((entry) =>
        stateContains(entry, "i-2") && stateContains(entry, '"entries":8')
      )
    );
  let entries = [...world.entries];
  await meet(entries);
  for (const worker of workers) worker.faults.loseAnswer = 1000;
  const rounds = 10;
  for (const isRestart of [false, true]) {
    if (isRestart) {
      for (const { router } of entries) await router.stop();
      entries = await Promise.all(entries.map(world.restart));
      await meet(entries);
    }
    for (let i = 0; i < rounds; i++) {
      await Promise.all(
        entries.map((entry) => sendClientRequest(entry, "/look/a")),
      );
    }
  }
  const requests = 2 * rounds * entries.length;
  const resends = workers.flatMap(({ runs }) => runs).length - requests;
  assert.ok(resends <= requests * 0.2 + 54, `${resends} of ${requests}`);
});

test("kept-alive connections are answered or closed on shutdown", async (t) => {
  const world = await openWorld(t);
  const slow = await world.worker("i-1", {
    model: "m",
    events: 40,
    eventMs: 20,
  });
  await world.worker("i-2");
  const stream = sendClientRequest(world, "/stream/a", MODEL_REQUEST_HEADERS);
  await until(() => slow.runs.length === 1);
  const silent = await ClientConnection.open(world);
  const kept = await ClientConnection.open(world);
  kept.ask("/look/a");
  await until(() => kept.answers === 1);
  const stopped = world.router.drain();
  kept.ask("/look/b");
  await until(() => kept.answers === 2);
  assert.match(kept.text, /connection: close/i);
  await Promise.all([kept.closed, silent.closed]);
  const asked = await stream;
  assert.ok(asked.isComplete);
  assert.equal(asked.body, completeStreamBody(40));
  await stopped;
});

/** A raw client connection. */
class ClientConnection {
  readonly #socket: Socket;
  readonly closed: Promise<void>;
  text = "";

  private constructor(socket: Socket) {
    this.#socket = socket;
    this.closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("data", (bytes) => this.text += bytes);
    // A reset also counts as closed.
    socket.on("error", () => {});
  }

  static async open(
    { ipAddress, clientPort }: TestEntry,
  ): Promise<ClientConnection> {
    const socket = connect(clientPort, ipAddress);
    await new Promise((resolve) => socket.once("connect", resolve));
    return new ClientConnection(socket);
  }

  get answers(): number {
    return this.text.split("HTTP/1.1 200").length - 1;
  }

  ask(path: string): void {
    this.#socket.write(
      `GET ${path} HTTP/1.1\r\nhost: ${HOST}\r\n` +
        `authorization: Bearer ${KEY}\r\nattempt-id: ${path}\r\n\r\n`,
    );
  }
}
