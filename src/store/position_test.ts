import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  comparePositions,
  fencingNumberOf,
  formatPosition,
  isSamePosition,
  laterOf,
  nextPosition,
  parsePosition,
  positionAt,
  START_POSITION,
  type StorePosition,
} from "./position.ts";

const SEED = 20_261_204;
const MAX_REVISION = (1n << 38n) - 1n;

const positions = fc.record({
  era: fc.nat({ max: 40 }),
  revision: fc.bigInt({ min: 0n, max: MAX_REVISION }),
}).map(({ era, revision }) => positionAt(era, revision));

function numberOf(position: StorePosition): bigint {
  const number = fencingNumberOf(position);
  assert.ok(number.isOk);
  return number.value;
}

// A store that came back from an older copy would count as older until its revisions have passed.
test("a lower revision of a later era comes after", () => {
  const before = positionAt(1, 900n);
  const restored = positionAt(2, 40n);
  assert.ok(comparePositions(before, restored) < 0);
  assert.deepEqual(laterOf(before, restored), restored);
  assert.deepEqual(nextPosition(restored), positionAt(2, 41n));
});

// A number that a restored store gives out again would be taken for the write that was lost.
test("the same revision of another era is another position", () => {
  assert.ok(!isSamePosition(positionAt(1, 7n), positionAt(2, 7n)));
  assert.ok(!isSamePosition(positionAt(1, 7n), undefined));
  assert.ok(isSamePosition(undefined, undefined));
});

// Engines would refuse the newest holder of a lease, or obey an older one.
test("fencing numbers order as positions do and are exact in JSON", () => {
  const both = fc.property(positions, positions, (a, b) => {
    const [first, second] = [numberOf(a), numberOf(b)];
    assert.ok(Number.isSafeInteger(Number(first)));
    const order = first === second ? 0 : first < second ? -1 : 1;
    assert.equal(Math.sign(comparePositions(a, b)), order);
  });
  fc.assert(both, { seed: SEED });
  assert.equal(numberOf(positionAt(0, 51n)), 51n);
});

// A number beyond its bits would be read as a holder of another era.
test("a position without an exact fencing number is refused", () => {
  const refused = [
    positionAt(0, MAX_REVISION + 1n),
    positionAt(0, -1n),
    positionAt(1 << 15, 0n),
  ];
  for (const position of refused) {
    const number = fencingNumberOf(position);
    assert.ok(number.isErr);
    assert.deepEqual(number.error, { kind: "no_fencing_number", position });
  }
  const highest = positionAt((1 << 15) - 1, MAX_REVISION);
  assert.equal(numberOf(highest), BigInt(Number.MAX_SAFE_INTEGER));
});

// An entry of the last release reads and writes the revision alone.
test("text of a position is read back, and is the revision in era 0", () => {
  const each = fc.property(positions, (position) => {
    const parsed = parsePosition(formatPosition(position));
    assert.deepEqual(parsed, position);
  });
  fc.assert(each, { seed: SEED });
  assert.equal(formatPosition(START_POSITION), "0");
  assert.equal(formatPosition(positionAt(3, 12n)), "3.12");
});

// A malformed position from a peer would be compared as if it were one.
test("text that names no position is refused", () => {
  const texts = [
    "",
    ".",
    "1.",
    ".1",
    "1.2.3",
    "-1",
    "x",
    "1e3",
    "9".repeat(19),
  ];
  for (const text of texts) assert.equal(parsePosition(text), undefined);
});
