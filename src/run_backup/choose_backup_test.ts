import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type BackupEngine, chooseBackup } from "./choose_backup.ts";

const SEED = 20_261_204;
const RUNS = 500;

interface NamedEngine extends BackupEngine {
  id: number;
}

function engine(
  id: number,
  fields: Partial<BackupEngine> = {},
): NamedEngine {
  return {
    id,
    zone: "a",
    isAvailable: true,
    isHeldBack: false,
    isNextToChange: false,
    isCompatible: true,
    weightsVersion: 1,
    pendingTokens: 0,
    running: 0,
    heldRuns: 0,
    ...fields,
  };
}

function idOf(engines: NamedEngine[], random = () => 0): number | undefined {
  const chosen = chooseBackup(engines, {
    zone: "a",
    weightsVersion: 1,
    random,
  });
  return chosen.kind === "chosen" ? chosen.engine.id : undefined;
}

// Guards against a copy that is useless when it is needed: its engine is down, changes its weights, or
// can't continue what the other engine has written.
test("engine that could not continue the run gets no backup", () => {
  const ineligible: Partial<BackupEngine>[] = [
    { isAvailable: false },
    { isHeldBack: true },
    { isNextToChange: true },
    { isCompatible: false },
    { weightsVersion: 2 },
    { weightsVersion: undefined },
  ];
  for (const fields of ineligible) {
    assert.equal(idOf([engine(1, fields)]), undefined, JSON.stringify(fields));
    const busy = engine(2, { zone: "b", running: 40 });
    assert.equal(idOf([engine(1, fields), busy]), 2);
  }
  assert.equal(idOf([]), undefined);
});

// Guards against copies between zones while an engine of the own zone could hold them.
test("engine of the run's zone comes before less loaded ones of other zones", () => {
  const far = engine(1, { zone: "b" });
  assert.equal(idOf([far, engine(2, { running: 9 })]), 2);
  assert.equal(idOf([far]), 1);
});

test("tokens, requests and backups all count as load", () => {
  for (
    const load of [{ running: 1 }, { pendingTokens: 400 }, { heldRuns: 1 }]
  ) {
    assert.equal(idOf([engine(1, load), engine(2)]), 2);
    assert.equal(idOf([engine(2), engine(1, load)]), 2);
  }
});

// Guards against entries with the same load data that all choose the first engine of equal load.
test("engines of equal load are chosen equally often", () => {
  const engines = [engine(1), engine(2, { pendingTokens: 399 }), engine(3)];
  const steps = 60;
  const counts = new Map<number, number>();
  for (let i = 0; i < steps; i++) {
    for (let j = 0; j < steps; j++) {
      const values = [(i + 0.5) / steps, (j + 0.5) / steps];
      const id = idOf(engines, () => values.shift()!)!;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  for (const id of [1, 2, 3]) assert.equal(counts.get(id), steps * steps / 3);
});

// Guards against a choice that depends on the order of the engines.
test("no eligible engine is better than the chosen one", () => {
  const engines = fc.array(
    fc.record({
      id: fc.nat(),
      zone: fc.constantFrom("a", "b"),
      isAvailable: fc.boolean(),
      isHeldBack: fc.boolean(),
      isNextToChange: fc.boolean(),
      isCompatible: fc.boolean(),
      weightsVersion: fc.constantFrom(1, 2, undefined),
      pendingTokens: fc.nat(2000),
      running: fc.nat(5),
      heldRuns: fc.nat(5),
    }),
    { maxLength: 8 },
  );
  const loadOf = (one: BackupEngine) =>
    (one.zone === "a" ? 0 : 1_000_000) +
    Math.floor(one.running + one.heldRuns + one.pendingTokens / 400);
  fc.assert(
    fc.property(engines, fc.double({ min: 0, max: 0.999 }), (list, chance) => {
      const options = { zone: "a", weightsVersion: 1, random: () => chance };
      const chosen = chooseBackup(list, options);
      const eligible = list.filter((one) =>
        one.isAvailable && one.isCompatible && !one.isHeldBack &&
        !one.isNextToChange && one.weightsVersion === 1
      );
      if (chosen.kind === "none") return assert.equal(eligible.length, 0);
      assert.ok(eligible.includes(chosen.engine));
      const least = Math.min(...eligible.map(loadOf));
      assert.equal(loadOf(chosen.engine), least);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});
