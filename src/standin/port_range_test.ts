import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { PortRange, PortRangeError } from "./port_range.ts";

/** Above the ranges that other tests use; two blocks of four ports, one of them a guard. */
const OPTIONS = { firstPort: 32_200, lastPort: 32_207, blockPorts: 4 };

function open(t: TestContext): PortRange {
  const range = PortRange.create(OPTIONS);
  t.after(() => range.close());
  return range;
}

async function take(range: PortRange, count: number): Promise<number[]> {
  return await Promise.all(Array.from({ length: count }, () => range.next()));
}

// Guards against a server that takes the port, and then the requests, of another process's server.
test("two owners of a range never get the same port", async (t) => {
  const [first, second] = [open(t), open(t)];
  const ports = [
    ...await take(first, 1),
    ...await take(second, 3),
    ...await take(first, 2),
  ];
  assert.equal(new Set(ports).size, ports.length);
});

test("owner of a whole block gets another one", async (t) => {
  const ports = await take(open(t), 6);
  assert.equal(new Set(ports).size, 6);
});

test("range without a block left gives out no port", async (t) => {
  const [first, second] = [open(t), open(t)];
  await take(first, 6);
  await assert.rejects(second.next(), PortRangeError);
  first.close();
  assert.equal((await take(second, 3)).length, 3);
});
