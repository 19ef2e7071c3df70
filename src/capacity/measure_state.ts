/**
 * Measures what one more member, block, hint, branch or KB of prompt costs. Prints slopes as JSON:
 * `node --expose-gc dist/capacity/measure_state.js`.
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
import { heapSlope, processorSlope, type Series } from "./_measure.ts";
import type { Slope } from "./slopes.ts";

const COMMAND = "node --expose-gc dist/capacity/measure_state.js";
const REPEATS = 2_000;
const SCOPE = {
  team: "lakeshore",
  workspace: "duluth",
  model: "notes",
  adapter: "",
  weightsVersion: "1",
};

const OFFER = {
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
  await candidates(),
  await chain(),
  members(),
  hints(),
  await branchApply(),
  branchBytes(),
  await cacheEvents(),
  cacheBlocks(),
];
console.log(JSON.stringify(slopes, null, 2));

async function candidates(): Promise<Slope> {
  const series = describe(
    "candidates_us",
    "Processor time of choosing candidates",
    "us",
    "member",
  );
  const requests = Array.from({ length: 50 }, (_, at) => requestOf(at));
  const slope = await processorSlope(
    { ...series, counts: [100, 1_000, 2_400, 12_000] },
    (count) => {
      const table = MemberTable.create(memberRows(count));
      const policy = newPolicy();
      return () => {
        for (let at = 0; at < REPEATS; at++) {
          policy.candidates(requests[at % 50]!, table);
        }
      };
    },
  );
  return dividedBy(slope, REPEATS);
}

async function chain(): Promise<Slope> {
  const series = describe(
    "chain_us_per_kb",
    "Processor time of rendering and hashing a prompt",
    "us",
    "KB",
  );
  const slope = await processorSlope(
    { ...series, counts: [2, 8, 16, 32] },
    (kb) => {
      const body = bodyOf("x".repeat(kb * 500), "y".repeat(kb * 500));
      return () => {
        for (let at = 0; at < REPEATS; at++) placementOf(body);
      };
    },
  );
  return dividedBy(slope, REPEATS);
}

function members(): Slope {
  const series = describe(
    "member_bytes",
    "Heap of a row of the list of instances",
    "bytes",
    "row",
  );
  return heapSlope(
    { ...series, counts: [1_000, 2_400, 12_000] },
    (count) => MemberTable.create(memberRows(count)),
  );
}

function hints(): Slope {
  const series = describe(
    "hint_bytes",
    "Heap of a request's hints and load counts",
    "bytes",
    "request",
  );
  const table = MemberTable.create(memberRows(50));
  return heapSlope({ ...series, counts: [500, 1_000, 2_000] }, (count) => {
    const policy = newPolicy();
    for (let at = 0; at < count; at++) {
      const request = requestOf(at);
      const [member] = policy.candidates(request, table);
      policy.recordObservation({
        kind: "placed",
        request,
        memberId: member!.id,
        offer: OFFER,
      });
    }
    return policy;
  });
}

async function branchApply(): Promise<Slope> {
  const series = describe(
    "branch_apply_us",
    "Processor time of taking a branch into force",
    "us",
    "KB",
  );
  const times = 200;
  const slope = await processorSlope(
    { ...series, counts: [2, 6, 24] },
    (kb) => {
      const json = branchOf(kb);
      return () => {
        const branches = BranchSet.create();
        for (let at = 1; at <= times; at++) {
          branches.apply({ team: "lakeshore", revision: BigInt(at), json });
        }
      };
    },
  );
  return dividedBy(slope, times);
}

function branchBytes(): Slope {
  const series = describe(
    "branch_bytes",
    "Heap of a branch in force",
    "bytes",
    "KB",
  );
  const teams = 200;
  const slope = heapSlope({ ...series, counts: [2, 6, 24] }, (kb) => {
    const branches = BranchSet.create();
    for (let at = 0; at < teams; at++) {
      branches.apply({
        team: `team-${at}`,
        revision: BigInt(at + 1),
        json: branchOf(kb),
      });
    }
    return branches;
  });
  return dividedBy(slope, teams);
}

async function cacheEvents(): Promise<Slope> {
  const series = describe(
    "cache_event_us",
    "Processor time of one cache event",
    "us",
    "event",
  );
  return await processorSlope(
    { ...series, counts: [10_000, 20_000, 40_000] },
    (count) => {
      const events = storedEvents(count);
      return () => followAll(events);
    },
  );
}

function cacheBlocks(): Slope {
  const series = describe(
    "cache_block_bytes",
    "Heap of one cached block in view",
    "bytes",
    "block",
  );
  return heapSlope(
    { ...series, counts: [10_000, 40_000, 90_000] },
    (count) => followAll(storedEvents(count)),
  );
}

function followAll(events: CacheEvent[]): CacheView {
  const view = CacheView.create();
  view.addOwner(SCOPE.team, SCOPE.workspace);
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
  return Array.from({ length: count }, (_, at): CacheEvent => ({
    kind: "stored",
    seq: at + 1,
    blockKey: `block-${at}`,
    parentKey: at % chainLength === 0 ? "" : `block-${at - 1}`,
    cacheSalt: cacheSalt(SCOPE.team, SCOPE.workspace),
    model: {
      model: SCOPE.model,
      adapter: SCOPE.adapter,
      weightsVersion: SCOPE.weightsVersion,
    },
    content: String(at).padStart(CHAIN_BLOCK_BYTES, "-"),
  }));
}

function branchOf(kb: number): Buffer {
  const workspaces: Record<string, unknown> = {};
  const wanted = kb * 1_000;
  let size = 300;
  for (let at = 0; size < wanted; at++) {
    workspaces[`salon-${at}`] = {
      defaultClass: "desk",
      keys: [{ id: "first", sha256: "0".repeat(64) }],
    };
    size += 130;
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
  return Array.from({ length: count }, (_, at) => ({
    id: `worker-${String(at).padStart(5, "0")}`,
    zone: zones[at % zones.length]!,
    address: `10.0.${at >> 8}.${at & 255}:7070`,
    state: "live",
  }));
}

function requestOf(at: number): PlacementRequest {
  return placementOf(
    bodyOf(`salon ${at % 20}`.padEnd(4_000), `pet ${at}`.padEnd(4_000)),
  );
}

function bodyOf(first: string, second: string): Record<string, unknown> {
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

function placementOf(body: Record<string, unknown>): PlacementRequest {
  return describePrompt(body, {
    scope: SCOPE,
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

function dividedBy(slope: Slope, times: number): Slope {
  return {
    ...slope,
    points: slope.points.map(({ x, y }) => ({ x, y: y / times })),
    slope: slope.slope / times,
    intercept: slope.intercept / times,
    spread: [slope.spread[0] / times, slope.spread[1] / times],
  };
}
