/** Entries that ask each other which software began a stream. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../base/random.ts";
import { OriginFleet } from "./_origin_fleet.ts";

const SEED = 20_261_204;
const STREAMS = 400;

function mixedFleet(entryCount: number): OriginFleet {
  const fleet = OriginFleet.create({ entryCount });
  fleet.join("v1", "i-1");
  fleet.join("v2", "i-2");
  return fleet;
}

test("other entries know which software began a stream whose entry is gone", async () => {
  const fleet = mixedFleet(40);
  const [first, second] = fleet.entries;
  fleet.begin(first!, "a", "v2");
  fleet.gone.add(first!.address);
  assert.equal(await fleet.takeUp(second!, "a"), "entry v2");
  // The answer is kept, also for the next take-up.
  assert.equal(await fleet.takeUp(second!, "a"), "own v2");
});

test("stream that no entry knows is unknown while versions are mixed", async () => {
  const fleet = mixedFleet(40);
  const startMs = fleet.clock.nowMs();
  for (const id of ["unheard-of", "", "x".repeat(200)]) {
    assert.equal(
      await fleet.takeUp(fleet.entries[0]!, id),
      "unknown undefined",
    );
  }
  // All entries that were asked have replied.
  assert.equal(fleet.clock.nowMs(), startMs);
});

test("service with one version costs no datagram", async () => {
  const fleet = OriginFleet.create({ entryCount: 40 });
  fleet.join("v1", "i-1");
  const [first, second] = fleet.entries;
  for (let i = 0; i < 100; i++) fleet.begin(first!, `s-${i}`, "v1");
  for (let i = 0; i < 100; i++) {
    assert.equal(await fleet.takeUp(second!, `s-${i}`), "one_version v1");
  }
  assert.equal(fleet.sent.datagrams, 0);
});

test("streams that began with one version are told when a second one joins", async () => {
  const fleet = OriginFleet.create({ entryCount: 40 });
  fleet.join("v1", "i-1");
  const [first, second] = fleet.entries;
  fleet.begin(first!, "a", "v1");
  fleet.join("v2", "i-2");
  fleet.gone.add(first!.address);
  assert.equal(await fleet.takeUp(second!, "a"), "entry v1");
});

test("stream is forgotten when its client can't return any more", async () => {
  const fleet = mixedFleet(4);
  const [first, second] = fleet.entries;
  fleet.begin(first!, "a", "v1");
  fleet.pass(20_400);
  assert.equal(await fleet.takeUp(second!, "a"), "unknown undefined");
});

test("entry without the store asks the others before it trusts that there is one version", async () => {
  const fleet = OriginFleet.create({ entryCount: 5 });
  fleet.join("v1", "i-1");
  const [cutOff, ...others] = fleet.entries;
  cutOff!.isConfirmed = false;
  assert.equal(await fleet.takeUp(cutOff!, "a"), "one_version v1");
  // The others learn of a second version, which this entry does not see.
  for (const { versions } of others) {
    versions.hear({ service: "engines", softwareVersion: "v2", ageMs: 0 });
  }
  assert.equal(await fleet.takeUp(cutOff!, "a"), "unknown undefined");
  fleet.begin(others[0]!, "b", "v2");
  assert.match(await fleet.takeUp(cutOff!, "b"), / v2$/);
});

test("entry that reaches neither the store nor the others takes up only its own streams", async () => {
  const fleet = OriginFleet.create({ entryCount: 5 });
  fleet.join("v1", "i-1");
  const [isolated, ...others] = fleet.entries;
  isolated!.isConfirmed = false;
  fleet.begin(isolated!, "own", "v1");
  for (const { address } of others) fleet.gone.add(address);
  fleet.pass(3000);
  assert.equal(await fleet.takeUp(isolated!, "a"), "unknown undefined");
  assert.equal(await fleet.takeUp(isolated!, "own"), "own v1");
});

test("entries go on with one version while the store is down for all", async () => {
  const fleet = OriginFleet.create({ entryCount: 5 });
  fleet.join("v1", "i-1");
  for (const entry of fleet.entries) entry.isConfirmed = false;
  fleet.pass(3000);
  assert.equal(await fleet.takeUp(fleet.entries[0]!, "a"), "one_version v1");
});

for (const silentForMs of [0, 3000]) {
  test(`entry that is silent for ${silentForMs} ms may know of a version while the store is away`, async () => {
    const fleet = OriginFleet.create({ entryCount: 5 });
    fleet.join("v1", "i-1");
    const [first, ...others] = fleet.entries;
    for (const entry of fleet.entries) entry.isConfirmed = false;
    const apart = others.at(-1)!;
    apart.versions.hear({
      service: "engines",
      softwareVersion: "v2",
      ageMs: 0,
    });
    fleet.gone.add(apart.address);
    fleet.pass(silentForMs);
    assert.equal(await fleet.takeUp(first!, "a"), "unknown undefined");
  });
}

test("entry whose peer reads another version than its own trusts neither", async () => {
  const fleet = OriginFleet.create({ entryCount: 2 });
  fleet.join("v1", "i-1");
  fleet.recorded.clear();
  fleet.recorded.add("v2");
  fleet.entries[0]!.isConfirmed = false;
  const found = await fleet.takeUp(fleet.entries[0]!, "a");
  assert.equal(found, "unknown undefined");
});

test("entry that stops tells the entries which follow it", async () => {
  const fleet = mixedFleet(8);
  const { entries } = fleet;
  fleet.begin(entries[0]!, "a", "v1");
  for (const { address, origins, members } of entries.slice(0, 7)) {
    members.stop();
    origins.handOver();
    fleet.gone.add(address);
    fleet.pass(2400);
  }
  assert.match(await fleet.takeUp(entries[7]!, "a"), / v1$/);
});

for (const lossShare of [0.05, 0.3]) {
  test(`take-ups are known although datagrams are lost, ${lossShare}`, async () => {
    const fleet = OriginFleet.create({
      entryCount: 40,
      random: seededRandom(SEED),
      lossShare,
    });
    fleet.join("v1", "i-1");
    fleet.join("v2", "i-2");
    const [first, second] = fleet.entries;
    for (let i = 0; i < STREAMS; i++) fleet.begin(first!, `s-${i}`, "v2");
    fleet.gone.add(first!.address);
    let known = 0;
    for (let i = 0; i < STREAMS; i++) {
      if (await fleet.takeUp(second!, `s-${i}`) === "entry v2") known++;
    }
    // The users' rule asks for half of the share of new streams that begin.
    assert.ok(known >= STREAMS / 2, `${known} of ${STREAMS}`);
  });
}

test("replies that arrived while the entry was blocked are read before a stream is refused", async () => {
  const fleet = mixedFleet(40);
  const [first, second] = fleet.entries;
  fleet.begin(first!, "a", "v2");
  fleet.gone.add(first!.address);
  fleet.blocked = second!.address;
  assert.equal(await fleet.takeUp(second!, "a"), "entry v2");
});

test("streams are known although all entries are killed in turn", async () => {
  const fleet = mixedFleet(6);
  for (let i = 0; i < 20; i++) fleet.begin(fleet.entries[0]!, `s-${i}`, "v2");
  for (const index of fleet.entries.keys()) {
    fleet.restart(index);
    fleet.pass(1200);
  }
  for (let i = 0; i < 20; i++) {
    assert.match(await fleet.takeUp(fleet.entries[i % 6]!, `s-${i}`), / v2$/);
  }
});
