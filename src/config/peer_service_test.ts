import assert from "node:assert/strict";
import { test } from "node:test";
import { createSilentLogger, Lifecycle, systemClock } from "../base/mod.ts";
import { PeerService } from "../wire/gen/cicadahitch.ts";
import { ChannelPool, GrpcListener } from "../wire/mod.ts";
import { BranchSet } from "./branch_set.ts";
import { GrpcPeerCalls } from "./peer_calls.ts";
import { createPeerService } from "./peer_service.ts";
import { encodeBranch } from "./stored_branch.ts";
import { ConfigSync } from "./sync.ts";

const SECURITY = { kind: "plain" } as const;
const STORED_JSON = Buffer.from(
  encodeBranch({ format: 1, classes: {}, workspaces: {} }),
);

function startNode(name: string, seeds: string[]) {
  const lifecycle = Lifecycle.create(name);
  const listener = GrpcListener.create("127.0.0.1:0", SECURITY);
  const channels = ChannelPool.create({
    security: SECURITY,
    clock: systemClock,
  });
  const branches = BranchSet.create();
  const sync = ConfigSync.create({
    processId: name,
    address: () => listener.address,
    store: undefined,
    branches,
    peers: GrpcPeerCalls.create({ channels, clock: systemClock }),
    peerAddresses: () => seeds,
    lifecycle,
    log: createSilentLogger(),
    clock: systemClock,
    exchangeIntervalMs: 20,
  });
  const dumpState = () => JSON.stringify(sync.state());
  const handlers = createPeerService({ sync, branches, dumpState });
  listener.addService(PeerService, handlers);
  const stop = async () => {
    await lifecycle.stop();
    channels.close();
    listener.close();
  };
  return { listener, branches, sync, stop };
}

test("two entries exchange branches over gRPC", async () => {
  const one = startNode("one", []);
  one.branches.apply({ team: "a", revision: 7n, json: STORED_JSON });
  one.branches.markCompleteTo(9n);
  assert((await one.listener.start()).isOk);
  const two = startNode("two", [one.listener.address]);
  assert((await two.listener.start()).isOk);
  assert.deepEqual(await two.sync.ready, { source: "peer" });
  assert.equal(two.branches.get("a")?.revision, 7n);
  assert.equal(two.branches.completeTo, 9n);
  assert(!two.sync.isolated);
  await two.stop();
  await one.stop();
});
