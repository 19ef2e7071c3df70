import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  countReady,
  finishMoves,
  readyReplica,
  startMove,
  testModel,
  testServer,
} from "./_test_pool.ts";
import { planMoves } from "./plan_moves.ts";
import {
  familyKey,
  modelKey,
  type PoolView,
  type WantedModel,
} from "./pool_view.ts";

const SEED = 20261202;
const RUNS = 300;
const LARGE_ALLOWANCE = { maxMoves: 100, maxLoads: 100 };

const MODEL = fc.tuple(
  fc.constantFrom("a", "b", "c"),
  fc.constantFrom("1", "2"),
)
  .map(([name, version]) => testModel(name, version));
const REPLICAS = fc.uniqueArray(
  fc.tuple(MODEL, fc.nat(8)).map(([model, inFlight]) =>
    readyReplica(model, inFlight)
  ),
  { maxLength: 3, selector: ({ model }) => modelKey(model) },
);
const SERVERS = fc.array(
  fc.record({ replicas: REPLICAS, spare: fc.nat(1), leaving: fc.boolean() }),
  { minLength: 1, maxLength: 8 },
).map((servers) =>
  servers.map(({ replicas, spare, leaving }, index) =>
    testServer(index, {
      replicas,
      leaving,
      slots: Math.max(1, replicas.length + spare),
    })
  )
);
const UNSERVED = fc.array(
  fc.record({
    model: fc.constantFrom("a", "b", "c"),
    adapter: fc.constant(""),
    inFlight: fc.nat(30),
  }),
  { maxLength: 3 },
);
const VIEW = fc.record({ servers: SERVERS, unserved: UNSERVED });
const WANTED = fc.uniqueArray(
  fc.record({ model: MODEL, minReplicas: fc.nat(4) }),
  { maxLength: 4, selector: ({ model }) => modelKey(model) },
);
const ONE_VERSION = fc.uniqueArray(
  fc.record({ model: MODEL, minReplicas: fc.nat(3) }),
  { maxLength: 3, selector: ({ model }) => familyKey(model) },
);
const ALLOWANCE = fc.record({ maxMoves: fc.nat(5), maxLoads: fc.nat(3) });

test("a plan never exceeds the allowance", () => {
  assertProperty(
    fc.property(VIEW, WANTED, ALLOWANCE, (view, wanted, allowance) => {
      const moves = planMoves(view, wanted, allowance);
      assert.ok(moves.length <= allowance.maxMoves);
      const loads = moves.filter(({ kind }) => kind === "load");
      assert.ok(loads.length <= allowance.maxLoads);
    }),
  );
});

test("unloads never leave fewer ready replicas than the minimum", () => {
  assertProperty(
    fc.property(VIEW, WANTED, ALLOWANCE, (view, wanted, allowance) => {
      const usable = {
        ...view,
        servers: view.servers.filter((s) => !s.leaving),
      };
      const before = structuredClone(usable);
      for (const move of planMoves(view, wanted, allowance)) {
        startMove(usable, move);
      }
      for (const { model, minReplicas } of wanted) {
        const ofVersion = (other: WantedModel["model"]) =>
          modelKey(other) === modelKey(model);
        const ofFamily = (other: WantedModel["model"]) =>
          familyKey(other) === familyKey(model);
        for (const accept of [ofVersion, ofFamily]) {
          const attainable = Math.min(minReplicas, usable.servers.length);
          const floor = Math.min(attainable, countReady(before, accept));
          assert.ok(countReady(usable, accept) >= floor);
        }
      }
    }),
  );
});

test("plans end after a bounded number of rounds", () => {
  assertProperty(fc.property(VIEW, WANTED, (view, wanted) => {
    for (const server of view.servers) {
      for (const replica of server.replicas) replica.inFlight = 0;
    }
    runUntilStable(view, wanted, 60);
  }));
});

test("a pool with enough slots reaches its minimum replicas", () => {
  assertProperty(fc.property(VIEW, ONE_VERSION, (view, wanted) => {
    for (const server of view.servers) {
      server.slots = server.replicas.length + 3;
    }
    view.unserved = [];
    runUntilStable(view, wanted, 60);
    const usable = { ...view, servers: view.servers.filter((s) => !s.leaving) };
    for (const { model, minReplicas } of wanted) {
      const goal = Math.min(minReplicas, usable.servers.length);
      const key = modelKey(model);
      assert.ok(countReady(usable, (other) => modelKey(other) === key) >= goal);
      const isOld = (other: WantedModel["model"]) =>
        familyKey(other) === familyKey(model) && modelKey(other) !== key;
      assert.equal(countReady(usable, isOld), 0);
    }
  }));
});

test("a new version replaces the old one on full servers", () => {
  const servers = [0, 1, 2, 3].map((index) =>
    testServer(index, {
      slots: 1,
      replicas: [readyReplica(testModel("a", "1"))],
    })
  );
  const view: PoolView = { servers, unserved: [] };
  const wanted = [{ model: testModel("a", "2"), minReplicas: 3 }];
  runUntilStable(view, wanted, 20, () => {
    assert.ok(countReady(view, () => true) >= 3);
  });
  assert.equal(countReady(view, (model) => model.weightsVersion === "2"), 3);
  assert.equal(countReady(view, (model) => model.weightsVersion === "1"), 0);
});

test("full servers keep the minimum of the old version although a new one is wanted", () => {
  const servers = [0, 1, 2, 3].map((index) =>
    testServer(index, {
      slots: 1,
      replicas: [readyReplica(testModel("a", "1"))],
    })
  );
  const wanted = [{ model: testModel("a", "2"), minReplicas: 4 }];
  assert.deepEqual(
    planMoves({ servers, unserved: [] }, wanted, LARGE_ALLOWANCE),
    [],
  );
});

test("an old version is unloaded even if there is a slot for both", () => {
  const old = readyReplica(testModel("a", "1"));
  const replicas = [old, readyReplica(testModel("a", "2"))];
  const servers = [testServer(0, { slots: 4, replicas })];
  const wanted = [{ model: testModel("a", "2"), minReplicas: 1 }];
  const moves = planMoves({ servers, unserved: [] }, wanted, LARGE_ALLOWANCE);
  assert.deepEqual(moves.map(({ kind, model }) => [kind, model]), [
    ["unload", old.model],
  ]);
});

test("loads follow demand and are spread over zones", () => {
  const servers = Array.from({ length: 6 }, (_, index) => testServer(index));
  const unserved = [{ model: "a", adapter: "", inFlight: 16 }];
  const moves = planMoves({ servers, unserved }, [
    { model: testModel("a", "1"), minReplicas: 1 },
  ], LARGE_ALLOWANCE);
  assert.deepEqual(moves.map(({ serverId }) => serverId), ["s0", "s1", "s2"]);
});

test("a server without a recent report gets no moves", () => {
  const servers = [testServer(0, { ageMs: 60_000 }), testServer(1)];
  const wanted = [{ model: testModel("a", "1"), minReplicas: 2 }];
  const moves = planMoves({ servers, unserved: [] }, wanted, LARGE_ALLOWANCE);
  assert.deepEqual(moves.map(({ serverId }) => serverId), ["s1"]);
});

function runUntilStable(
  view: PoolView,
  wanted: WantedModel[],
  rounds: number,
  checkStarted = () => {},
): void {
  for (let round = 0; round < rounds; round++) {
    const moves = planMoves(view, wanted, { maxMoves: 4, maxLoads: 2 });
    if (moves.length === 0) return;
    for (const move of moves) startMove(view, move);
    checkStarted();
    finishMoves(view);
  }
  assert.fail("Expected no more moves after the last round");
}

function assertProperty(property: fc.IRawProperty<unknown>): void {
  fc.assert(property, { seed: SEED, numRuns: RUNS });
}
