import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { CONFIG } from "../standin/mod.ts";
import { type LogLine, recordedLog, TestClock, testFleet } from "./_kit.ts";
import type { Fleet } from "./fleet.ts";
import { InForce } from "./in_force.ts";
import { NAMED_RECORD_KEY } from "./named_record.ts";
import { type NamedAge, WantedVersions } from "./wanted_weights.ts";

const SEED = 20_261_203;

const REGISTRATION = {
  service: "plain",
  address: "127.0.0.1:9",
  zone: "a",
  slots: 4,
  state: "ready",
};

/** What is in force, fed with values as the store holds them. */
class Rig {
  readonly lines: LogLine[];
  readonly fleet: Fleet;
  readonly wanted: WantedVersions;
  readonly inForce: InForce;
  maxAgeMs = 0;
  gatheredMs = 0;
  recordedAges: NamedAge[] = [];
  #revision = 0n;

  constructor() {
    const clock = new TestClock();
    const { log, lines } = recordedLog();
    this.lines = lines;
    this.wanted = WantedVersions.create({ clock, boundMs: 10_000 });
    this.fleet = testFleet(clock, {
      log,
      serverOptions: (service) => ({
        connectMs: 1,
        idleMs: 1,
        ...this.inForce.limitsOf(service),
      }),
    });
    this.inForce = InForce.create({
      log,
      fleet: this.fleet,
      wanted: this.wanted,
      maxAgeMs: () => this.maxAgeMs,
      gatheredMs: () => this.gatheredMs,
      recordedAges: () => this.recordedAges,
      onSuspects: () => {},
      onConfig: () => {},
    });
  }

  put(key: string, value: unknown): void {
    this.putBytes(key, Buffer.from(JSON.stringify(value)));
  }

  putBytes(key: string, value: Uint8Array): void {
    const revision = ++this.#revision;
    const entry = {
      key,
      value,
      modRevision: revision,
      createRevision: revision,
    };
    this.inForce.take({ kind: "put", entry });
  }

  delete(key: string): void {
    this.inForce.take({ kind: "delete", key, revision: ++this.#revision });
  }

  /** Ids of the servers that take plain calls. */
  open(): string[] {
    return this.fleet.open("plain").map(({ id }) => id);
  }

  count(event: string): number {
    return this.lines.filter((line) => line.event === event).length;
  }
}

test("server whose registration becomes malformed gets nothing until it is proper", () => {
  const rig = new Rig();
  rig.put("servers/a", REGISTRATION);
  rig.put("servers/b", REGISTRATION);
  rig.put("servers/a", { ...REGISTRATION, state: "asleep" });
  assert.deepEqual(rig.open(), ["b"]);
  rig.put("servers/a", REGISTRATION);
  assert.deepEqual(rig.open().sort(), ["a", "b"]);
  rig.putBytes("servers/a", Buffer.from([0xff, 0xfe, 0]));
  assert.deepEqual(rig.open(), ["b"]);
});

test("malformed value is logged once while it stays malformed", () => {
  const rig = new Rig();
  for (let i = 0; i < 3; i++) rig.put("servers/a", { sequence: i });
  assert.equal(rig.count("store_malformed"), 1);
  rig.put("servers/a", REGISTRATION);
  rig.put("servers/a", {});
  assert.equal(rig.count("store_malformed"), 2);
  rig.delete("servers/a");
  rig.put("servers/a", {});
  assert.equal(rig.count("store_malformed"), 3);
});

test("malformed configuration or weights keep the older in force", () => {
  const rig = new Rig();
  rig.put("op/config", CONFIG);
  rig.put("op/version/m", { model: "m", version: 2 });
  rig.put("op/config", { ...CONFIG, version: 2, routes: [{}] });
  rig.put("op/config", { ...CONFIG, version: "3" });
  rig.put("op/config", {
    ...CONFIG,
    version: 4,
    limits: { ...CONFIG.limits, header_timeout_ms: -1 },
  });
  rig.put("op/version/m", { model: "m", version: 2.5 });
  rig.put("op/version/m", { model: 1, version: 3 });
  assert.equal(rig.inForce.table?.version, 1);
  assert.equal(rig.wanted.newest("m"), 2);
});

test("whatever else is written, proper servers stay and nothing throws", () => {
  const key = fc.oneof(
    fc.constantFrom("op/config", "op/version/m", "servers/x", "servers/"),
    fc.string({ unit: "binary" }).map((id) => `servers/x${id}`),
  );
  const value = fc.oneof(
    fc.uint8Array({ maxLength: 100 }),
    fc.json().map((text): Uint8Array => Buffer.from(text)),
    fc.dictionary(
      fc.constantFrom(...Object.keys({ ...REGISTRATION, ...CONFIG })),
      fc.jsonValue(),
    ).map((fields): Uint8Array =>
      Buffer.from(JSON.stringify({ ...REGISTRATION, ...CONFIG, ...fields }))
    ),
  );
  fc.assert(
    fc.property(fc.array(fc.tuple(key, value)), (writes) => {
      const rig = new Rig();
      rig.put("servers/a", REGISTRATION);
      for (const [key, value] of writes) rig.putBytes(key, value);
      assert.ok(rig.fleet.get("a"));
      rig.fleet.close();
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test("versions that are found at a start have the ages of the record", () => {
  // All entries lost power 1.1 s after a naming: engines on the weights before counted as too old
  // for any request, and the few with the new ones got all of them.
  for (const recordFirst of [true, false]) {
    const rig = new Rig();
    rig.maxAgeMs = Infinity;
    const name = () => rig.put("op/version/m", { model: "m", version: 3 });
    const recall = () => {
      rig.recordedAges = [
        { model: "m", version: 2, ageMs: 9000 },
        { model: "m", version: 3, ageMs: 3600 },
      ];
      rig.put(NAMED_RECORD_KEY, {});
    };
    if (recordFirst) recall();
    name();
    if (!recordFirst) recall();
    assert.equal(rig.wanted.replacedForMs("m", 2), 3600);
    assert.equal(rig.wanted.replacedForMs("m", 1), 9000);
  }
});

test("without a record what is found at a start counts as old", () => {
  const rig = new Rig();
  rig.maxAgeMs = Infinity;
  rig.put("op/version/m", { model: "m", version: 3 });
  assert.equal(rig.wanted.replacedForMs("m", 2), 7000);
});

test("weights that were named while changes were gathered are as old as the pause", () => {
  // All entries pause together after a change: each would take a naming in that time for new, and
  // begin answers on replaced weights for as much longer than their bound.
  const rig = new Rig();
  rig.gatheredMs = 600;
  rig.put("op/version/m", { model: "m", version: 2 });
  assert.equal(rig.wanted.replacedForMs("m", 1), 600);
  assert.deepEqual(rig.wanted.ages(), [
    { model: "m", version: 2, ageMs: 600 },
  ]);
});
