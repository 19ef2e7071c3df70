import assert from "node:assert/strict";
import { test } from "node:test";
import {
  DEMAND_TTL_MS,
  demandRows,
  DemandTable,
  MAX_FLOW_ROWS,
} from "./demand_table.ts";

const SERVICE = "plain";

// Guards against demand that is counted twice when an entry reports again.
test("newer report of an entry replaces its last one", () => {
  const table = DemandTable.create();
  table.apply("a", [[SERVICE, 0, "w", 2, 1]], 0);
  table.apply("b", [[SERVICE, 0, "w", 4, 0]], 0);
  table.apply("a", [[SERVICE, 0, "w", 1, 0]], 10);
  assert.deepEqual([...table.flows(SERVICE)], [
    { priority: 0, workspace: "w", units: 5 },
  ]);
  table.apply("a", [], 20);
  table.apply("b", [], 20);
  assert.deepEqual([...table.flows(SERVICE)], []);
});

// Guards against an entry that has ended and keeps its share.
test("demand expires when its entry is not heard any more", () => {
  const table = DemandTable.create();
  table.apply("a", [[SERVICE, 0, "w", 2, 1]], 0);
  table.apply("b", [], 1000);
  assert.equal(table.expire(DEMAND_TTL_MS - 1), 2);
  assert.equal(table.expire(DEMAND_TTL_MS), 1);
  assert.deepEqual([...table.flows(SERVICE)], []);
});

// Guards against datagrams that grow with the number of workspaces.
test("flows are reported by priority, or the largest ones if the room is divided", () => {
  const flows = Array.from({ length: MAX_FLOW_ROWS + 8 }, (_, i) => ({
    priority: i % 2,
    workspace: `w-${i}`,
    admitted: i,
    waiting: 1,
  }));
  const summed = demandRows(flows, { service: SERVICE, isDivided: false });
  assert.deepEqual(summed, [[SERVICE, 1, "", 400, 20], [
    SERVICE,
    0,
    "",
    380,
    20,
  ]]);
  const named = demandRows(flows, { service: SERVICE, isDivided: true });
  assert.equal(named.length, MAX_FLOW_ROWS + 2);
  assert.deepEqual(named[0], [SERVICE, 1, "w-39", 39, 1]);
  assert.deepEqual(named.at(-1), [SERVICE, 0, "", 12, 4]);
});
