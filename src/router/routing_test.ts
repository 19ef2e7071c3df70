import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestKind, type Route, type RoutingConfig } from "./model.ts";
import { RoutingTable } from "./routing_table.ts";

function route(name: string, fields: Partial<Route> = {}): Route {
  return {
    name,
    host: "a.example",
    pathPrefix: "/",
    kind: RequestKind.safe,
    timeoutMs: 1000,
    targetLatencyMs: 100,
    priority: 0,
    shares: [{ service: "s", weight: 1 }],
    maxAttempts: 1,
    anonymous: false,
    resumable: false,
    ...fields,
  };
}

function table(fields: Partial<RoutingConfig>): RoutingTable {
  return RoutingTable.create({
    version: 1,
    routes: [],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    workspaces: [],
    ...fields,
  });
}

const WORKSPACE = { name: "w", keys: ["k1", "k2"], isolated: false };

test("longest prefix of the path wins", () => {
  const known = table({
    routes: [
      route("short"),
      route("long", { pathPrefix: "/a/b/" }),
      route("middle", { pathPrefix: "/a/" }),
    ],
  });
  assert.equal(known.findRoute("a.example", "/a/b/c?d=/x/")?.name, "long");
  assert.equal(known.findRoute("a.example", "/a/x")?.name, "middle");
  assert.equal(known.findRoute("a.example", "/b")?.name, "short");
});

test("query is not matched against route prefixes", () => {
  const known = table({ routes: [route("r", { pathPrefix: "/a/" })] });
  assert.equal(known.findRoute("a.example", "/?/a/"), undefined);
});

test("route of another host is not found", () => {
  const known = table({ routes: [route("r")] });
  assert.equal(known.findRoute("b.example", "/"), undefined);
});

test("each key of a workspace authenticates it", () => {
  const known = table({ workspaces: [WORKSPACE] });
  for (const key of WORKSPACE.keys) {
    const who = known.authenticate(route("r"), key);
    assert.ok(who.kind === "workspace");
    assert.equal(who.workspace.name, "w");
  }
});

test("unknown or missing key is accepted only on an anonymous route", () => {
  const known = table({ workspaces: [WORKSPACE] });
  for (const key of [undefined, "", "other"]) {
    assert.equal(known.authenticate(route("r"), key).kind, "unknown_key");
    const open = route("open", { anonymous: true });
    assert.equal(known.authenticate(open, key).kind, "anonymous");
  }
});

test("no key is required if no workspace is configured", () => {
  assert.equal(table({}).authenticate(route("r"), "any").kind, "anonymous");
});
