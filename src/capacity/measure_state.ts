/**
 * Measures the CPU time or heap of each additional member, cached block, hint, KB of branch and KB
 * of prompt. Prints slopes as JSON: `node --expose-gc dist/capacity/measure_state.js`.
 */
import { CacheView } from "../agent/cache_view.ts";
import { BranchSet } from "../config/branch_set.ts";
import { encodeBranch } from "../config/stored_branch.ts";
import {
  cacheSalt,
  CHAIN_BLOCK_BYTES,
  createPolicy,
  describePrompt,
  type Member,
  MemberTable,
  type PlacementRequest,
  PolicyName,
} from "../placement/mod.ts";
import type { CacheEvent } from "../backends/engine.ts";
import { measureCpuSlope, measureHeapSlope, type Series } from "./_measure.ts";
import type { Slope } from "./slopes.ts";

const COMMAND = "node --expose-gc dist/capacity/measure_state.js";
const REPEATS = 2_000;
const SAMPLE_SCOPE = {
  team: "lakeshore",
  workspace: "duluth",
  model: "notes",
  adapter: "",
  weightsVersion: "1",
};

const SAMPLE_OFFER = {
  holdId: "",
  matchedTokens: 0,
  recomputeTokens: 0,
  expectedTtftMs: 1,
  queueMs: 0,
  engineIncarnation: "one",
  weightsVersion: "1",
  running: 0,
  waiting: 0,
};

const slopes: Slope[] = [
  await candidatesSlope(),
  await chainSlope(),
  memberSlope(),
  hintSlope(),
  await branchApplySlope(),
  branchBytesSlope(),
  await cacheEventSlope(),
  cacheBlockSlope(),
];
console.log(JSON.stringify(slopes, null, 2));

async function candidatesSlope(): Promise<Slope> {
  const series = describe(
    "candidates_us",
    "Processor time of choosing candidates",
    "us",
    "member",
  );
  const requests = Array.from(
    { length: 50 },
    (_, index) => sampleRequest(index),
  );
  const slope = await measureCpuSlope(
    { ...series, counts: [100, 1_000, 2_400, 12_000] },
    (count) => {
      const table = MemberTable.create(memberRows(count));
      const policy = newPolicy();
      return () => {
        for (let index = 0; index < REPEATS; index++) {
          policy.candidates(requests[index % 50]!, table);
        }
      };
    },
  );
  return divideSlope(slope, REPEATS);
}

async function chainSlope(): Promise<Slope> {
  const series = describe(
    "chain_us_per_kb",
    "Processor time of rendering and hashing a prompt",
    "us",
    "KB",
  );
  const slope = await measureCpuSlope(
    { ...series, counts: [2, 8, 16, 32] },
    (kb) => {
      const body = chatBody("x".repeat(kb * 500), "y".repeat(kb * 500));
      return () => {
        for (let index = 0; index < REPEATS; index++) placementRequest(body);
      };
    },
  );
  return divideSlope(slope, REPEATS);
}

function memberSlope(): Slope {
  const series = describe(
    "member_bytes",
    "Heap of a row of the list of instances",
    "bytes",
    "row",
  );
  return measureHeapSlope(
    { ...series, counts: [1_000, 2_400, 12_000] },
    (count) => MemberTable.create(memberRows(count)),
  );
}

function hintSlope(): Slope {
  const series = describe(
    "hint_bytes",
    "Heap of a request's hints and load counts",
    "bytes",
    "request",
  );
  const table = MemberTable.create(memberRows(50));
  return measureHeapSlope(
    { ...series, counts: [500, 1_000, 2_000] },
    (count) => {
      const policy = newPolicy();
      for (let index = 0; index < count; index++) {
        const request = sampleRequest(index);
        const [member] = policy.candidates(request, table);
        policy.recordObservation({
          kind: "placed",
          request,
          memberId: member!.id,
          offer: SAMPLE_OFFER,
        });
      }
      return policy;
    },
  );
}

async function branchApplySlope(): Promise<Slope> {
  const series = describe(
    "branch_apply_us",
    "Processor time of taking a branch into force",
    "us",
    "KB",
  );
  const times = 200;
  const slope = await measureCpuSlope(
    { ...series, counts: [2, 6, 24] },
    (kb) => {
      const json = encodeSampleBranch(kb);
      return () => {
        const branches = BranchSet.create();
        for (let revision = 1; revision <= times; revision++) {
          branches.apply({
            team: "lakeshore",
            revision: BigInt(revision),
            json,
          });
        }
      };
    },
  );
  return divideSlope(slope, times);
}

function branchBytesSlope(): Slope {
  const series = describe(
    "branch_bytes",
    "Heap of a branch in force",
    "bytes",
    "KB",
  );
  const teams = 200;
  const slope = measureHeapSlope({ ...series, counts: [2, 6, 24] }, (kb) => {
    const branches = BranchSet.create();
    for (let index = 0; index < teams; index++) {
      branches.apply({
        team: `team-${index}`,
        revision: BigInt(index + 1),
        json: encodeSampleBranch(kb),
      });
    }
    return branches;
  });
  return divideSlope(slope, teams);
}

async function cacheEventSlope(): Promise<Slope> {
  const series = describe(
    "cache_event_us",
    "Processor time of one cache event",
    "us",
    "event",
  );
  return await measureCpuSlope(
    { ...series, counts: [10_000, 20_000, 40_000] },
    (count) => {
      const events = storedEvents(count);
      return () => applyEvents(events);
    },
  );
}

function cacheBlockSlope(): Slope {
  const series = describe(
    "cache_block_bytes",
    "Heap of one cached block in view",
    "bytes",
    "block",
  );
  return measureHeapSlope(
    { ...series, counts: [10_000, 40_000, 90_000] },
    (count) => applyEvents(storedEvents(count)),
  );
}

function applyEvents(events: CacheEvent[]): CacheView {
  const view = CacheView.create();
  view.addOwner(SAMPLE_SCOPE.team, SAMPLE_SCOPE.workspace);
  view.loadSnapshot({
    kind: "snapshot",
    incarnation: "one",
    nextSeq: 1,
    blocks: [],
  });
  for (const event of events) view.applyEvent("one", event);
  return view;
}

function storedEvents(count: number): CacheEvent[] {
  const chainLength = 64;
  return Array.from({ length: count }, (_, index): CacheEvent => ({
    kind: "stored",
    seq: index + 1,
    blockKey: `block-${index}`,
    parentKey: index % chainLength === 0 ? "" : `block-${index - 1}`,
    cacheSalt: cacheSalt(SAMPLE_SCOPE.team, SAMPLE_SCOPE.workspace),
    model: {
      model: SAMPLE_SCOPE.model,
      adapter: SAMPLE_SCOPE.adapter,
      weightsVersion: SAMPLE_SCOPE.weightsVersion,
    },
    content: String(index).padStart(CHAIN_BLOCK_BYTES, "-"),
  }));
}

function encodeSampleBranch(kb: number): Buffer {
  const workspaces: Record<string, unknown> = {};
  const targetBytes = kb * 1_000;
  let estimatedBytes = 300;
  for (let index = 0; estimatedBytes < targetBytes; index++) {
    workspaces[`salon-${index}`] = {
      defaultClass: "desk",
      keys: [{ id: "first", sha256: "0".repeat(64) }],
    };
    estimatedBytes += 130;
  }
  const branch = {
    format: 1,
    models: { notes: { pool: "notes", weightsVersion: "1" } },
    pools: { notes: { kind: "engine", fencing: "ignored" } },
    classes: { desk: { priority: "urgent", deadlineMs: 3_000 } },
    workspaces,
  };
  return Buffer.from(encodeBranch(branch));
}

function newPolicy() {
  let seed = 1;
  return createPolicy(PolicyName.Offers, {
    zone: "a",
    zoneRttMs: { a: 0.2, b: 0.5, c: 0.5 },
    nowMs: () => performance.now(),
    random: () => (seed = seed * 48_271 % 2_147_483_647) / 2_147_483_647,
  });
}

function memberRows(count: number): Member[] {
  const zones = ["a", "b", "c"];
  return Array.from({ length: count }, (_, index) => ({
    id: `worker-${String(index).padStart(5, "0")}`,
    zone: zones[index % zones.length]!,
    address: `10.0.${index >> 8}.${index & 255}:7070`,
    state: "live",
  }));
}

function sampleRequest(index: number): PlacementRequest {
  return placementRequest(
    chatBody(`salon ${index % 20}`.padEnd(4_000), `pet ${index}`.padEnd(4_000)),
  );
}

function chatBody(first: string, second: string): Record<string, unknown> {
  return {
    messages: [{ role: "system", content: first }, {
      role: "user",
      content: second,
    }, {
      role: "user",
      content: "Temperament check before the bath?",
    }],
  };
}

function placementRequest(body: Record<string, unknown>): PlacementRequest {
  return describePrompt(body, {
    scope: SAMPLE_SCOPE,
    api: "chat",
    recomputePriceMs: 0,
  });
}

function describe(
  name: string,
  what: string,
  unit: string,
  per: string,
): Omit<Series, "counts"> {
  return { name, what, unit, per, command: COMMAND };
}

function divideSlope(slope: Slope, divisor: number): Slope {
  return {
    ...slope,
    points: slope.points.map(({ x, y }) => ({ x, y: y / divisor })),
    slope: slope.slope / divisor,
    intercept: slope.intercept / divisor,
    spread: [slope.spread[0] / divisor, slope.spread[1] / divisor],
  };
}
