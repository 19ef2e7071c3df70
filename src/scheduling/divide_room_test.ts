import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { divideRoom, type Division, type RoomDemand } from "./divide_room.ts";

const SEED = 20_261_204;

// Guards against waits and refusals while the demand of all entries fits.
test("demand that fits into the room is not divided", () => {
  const division = divideRoom(demand({
    own: [own(0, "a", 3)],
    peers: [{ priority: 1, workspace: "", units: 7 }],
  }));
  assert.deepEqual(division, { kind: "free", spare: 0 });
});

// Guards against entries that each take all spare room while they don't hear each other.
test("spare room is shared with entries that are not heard", () => {
  const division = divideRoom(demand({
    own: [own(0, "a", 1)],
    silentEntries: 4,
  }));
  assert.deepEqual(division, { kind: "free", spare: 1 });
});

// Guards against less urgent requests that take room from urgent ones, and against their starvation.
test("urgent priorities take what they demand, the others keep their floor", () => {
  const shares = sharesOf(demand({
    own: [own(0, "a", 8), own(1, "a", 20), own(2, "a", 20)],
  }));
  assert.deepEqual(shares["0/a"], { allowance: 8, isMet: true });
  assertNear(shares["1/a"]!.allowance, 1);
  assertNear(shares["2/a"]!.allowance, 1);
});

// Guards against many floors that leave urgent requests too little.
test("all floors together take at most half of the room", () => {
  const least = [1, 2, 3].map((priority) => own(priority, "a", 20));
  const shares = sharesOf(demand({
    floorShare: 0.5,
    own: [own(0, "a", 20), ...least],
  }));
  assertNear(shares["0/a"]!.allowance, 5);
});

// Guards against a workspace that takes the shares of others, and against unused shares.
test("workspaces share equally what others leave", () => {
  const shares = sharesOf(demand({
    own: [own(0, "a", 2), own(0, "b", 9), own(0, "c", 100)],
  }));
  assert.deepEqual(shares["0/a"], { allowance: 2, isMet: true });
  assertNear(shares["0/b"]!.allowance, 4);
  assertNear(shares["0/c"]!.allowance, 4);
});

// Guards against shares that don't follow the load of the entries.
test("entries share a flow by their demand", () => {
  const shares = sharesOf(demand({
    own: [own(0, "a", 5)],
    peers: [{ priority: 0, workspace: "a", units: 15 }],
  }));
  assertNear(shares["0/a"]!.allowance, 2.5);
});

// Guards against a partitioned entry that takes the room of entries that it doesn't hear.
test("entry that hears no other one gets an equal share", () => {
  const shares = sharesOf(demand({
    own: [own(0, "a", 6)],
    silentEntries: 3,
  }));
  assertNear(shares["0/a"]!.allowance, 2.5);
});

// Guards against divisions that exceed the room or leave it unused while there is demand.
test("divided room is used up, and never exceeded", () => {
  const flow = fc.record({
    priority: fc.integer({ min: 0, max: 3 }),
    workspace: fc.constantFrom("a", "b", "c"),
    units: fc.integer({ min: 1, max: 30 }),
  });
  fc.assert(
    fc.property(fc.array(flow, { maxLength: 12 }), (flows) => {
      const division = divideRoom(demand({
        own: flows.map((one) => ({ ...one, silentUnits: one.units })),
      }));
      if (division.kind === "free") return;
      let sum = 0;
      for (const { allowance } of division.shares.values()) sum += allowance;
      assertNear(sum, 10);
    }),
    { seed: SEED },
  );
});

function demand(fields: Partial<RoomDemand>): RoomDemand {
  return {
    room: 10,
    floorShare: 0.1,
    own: [],
    peers: [],
    silentEntries: 0,
    ...fields,
  };
}

function own(priority: number, workspace: string, units: number) {
  return { priority, workspace, units, silentUnits: units };
}

function sharesOf(input: RoomDemand) {
  const division: Division = divideRoom(input);
  assert.ok(division.kind === "divided");
  return Object.fromEntries(division.shares);
}

function assertNear(actual: number, expected: number): void {
  assert.ok(Math.abs(actual - expected) < 1e-6, `${actual} is not ${expected}`);
}
