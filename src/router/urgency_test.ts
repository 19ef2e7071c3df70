import assert from "node:assert/strict";
import { test } from "node:test";
import {
  RequestKind,
  type Route,
  type RoutingConfig,
  type Workspace,
} from "./model.ts";
import { Urgency } from "./urgency.ts";

const ENGINES = "engines";
const ENGINE = { slots: 4, cacheTokens: 1000 };

function route(fields: Partial<Route>): Route {
  return {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: RequestKind.stream,
    timeoutMs: 3000,
    targetLatencyMs: 500,
    priority: 0,
    shares: [{ service: ENGINES, weight: 1 }],
    maxAttempts: 1,
    anonymous: false,
    resumable: false,
    ...fields,
  };
}

function workspace(name: string, priority?: number): Workspace {
  return { name, keys: [], priority, isolated: false };
}

function configOf(
  routes: Route[],
  { workspaces = [], engine = ENGINE }: {
    workspaces?: Workspace[];
    engine?: typeof ENGINE | null;
  } = {},
): RoutingConfig {
  return {
    version: 1,
    routes,
    services: [{
      name: ENGINES,
      connectionLimit: 10,
      engine: engine ?? undefined,
    }],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces,
  };
}

const HINT = route({ name: "hint", priority: 0, targetLatencyMs: 500 });
const REVIEW = route({ name: "review", priority: 2, targetLatencyMs: 2000 });

// Without a rank for the route, all requests of workspaces with equal priority had equal priority.
test("route orders requests of workspaces with equal priority", () => {
  const shared = workspace("a", 1);
  const config = configOf([HINT, REVIEW], { workspaces: [shared] });
  const urgency = Urgency.create(config);
  const hint = urgency.rankOf(ENGINES, HINT, shared);
  const review = urgency.rankOf(ENGINES, REVIEW, shared);
  assert.ok(hint !== undefined && review !== undefined && hint < review);
});

test("workspace's priority goes before the route's", () => {
  const [first, second] = [workspace("a", 0), workspace("b", 1)];
  const config = configOf([HINT, REVIEW], { workspaces: [first, second] });
  const urgency = Urgency.create(config);
  const review = urgency.rankOf(ENGINES, REVIEW, first)!;
  const hint = urgency.rankOf(ENGINES, HINT, second)!;
  assert.ok(review < hint);
});

test("ranks stay in the range of engines' priorities", () => {
  const workspaces = Array.from(
    { length: 20 },
    (_, i) => workspace(`w${i}`, i),
  );
  const urgency = Urgency.create(configOf([HINT, REVIEW], { workspaces }));
  assert.equal(urgency.rankOf(ENGINES, HINT, workspaces[0]), 0);
  assert.equal(urgency.rankOf(ENGINES, REVIEW, workspaces[19]), 9);
});

test("engines whose urgent routes have longer targets are not scheduled", () => {
  const relaxed = route({ priority: 0, targetLatencyMs: 1000 });
  const strict = route({ priority: 1, targetLatencyMs: 800 });
  const urgency = Urgency.create(configOf([relaxed, strict]));
  assert.equal(urgency.rankOf(ENGINES, relaxed, undefined), undefined);
});

test("engines with one priority are not scheduled", () => {
  const urgency = Urgency.create(configOf([HINT]));
  assert.equal(urgency.rankOf(ENGINES, HINT, undefined), undefined);
});

test("plain service with one priority is scheduled", () => {
  const urgency = Urgency.create(configOf([HINT], { engine: null }));
  assert.equal(urgency.rankOf(ENGINES, HINT, undefined), 0);
});

test("routes without a target don't count", () => {
  const idle = route({ priority: 0, timeoutMs: 1000, targetLatencyMs: 1000 });
  const plain = route({ priority: 2, targetLatencyMs: 150 });
  const urgency = Urgency.create(configOf([idle, plain], { engine: null }));
  assert.equal(urgency.rankOf(ENGINES, plain, undefined), 1);
});

// Deployments whose engines are served in the order of workspaces' priorities alone had their plain
// services scheduled as well, and scored lower.
test("plain service with one priority is not scheduled beside unordered engines", () => {
  const relaxed = route({ priority: 0, targetLatencyMs: 1000 });
  const strict = route({ priority: 1, targetLatencyMs: 800 });
  const shares = [{ service: "plain", weight: 1 }];
  const call = route({ priority: 2, targetLatencyMs: 150, shares });
  const urgentCall = route({ priority: 0, targetLatencyMs: 100, shares });
  const rankOf = (routes: Route[]) => {
    const config = configOf(routes);
    const services = [...config.services, {
      name: "plain",
      connectionLimit: 1,
    }];
    const urgency = Urgency.create({ ...config, services });
    return urgency.rankOf("plain", call, undefined);
  };
  assert.equal(rankOf([relaxed, strict, call]), undefined);
  assert.equal(rankOf([HINT, REVIEW, call]), 0);
  assert.equal(rankOf([relaxed, strict, call, urgentCall]), 1);
});
