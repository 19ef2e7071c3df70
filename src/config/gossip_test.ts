import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "true-myth/result";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import type { VersionDigest } from "../wire/gen/cicadahitch.ts";
import type { CallFailure } from "../wire/mod.ts";
import { BranchSet } from "./branch_set.ts";
import { Freshness } from "./freshness.ts";
import { Gossip, selectBranches } from "./gossip.ts";
import type { PeerCalls } from "./peer_calls.ts";
import { encodeBranch } from "./stored_branch.ts";

const STORED_JSON = Buffer.from(
  encodeBranch({ format: 1, classes: {}, workspaces: {} }),
);
const CALL_FAILED: CallFailure = { kind: "broken", message: "Test" };

function createBranchSet(...versions: [string, bigint][]): BranchSet {
  const branches = BranchSet.create();
  for (const [team, revision] of versions) {
    branches.apply({ team, revision, json: STORED_JSON });
  }
  return branches;
}

function createGossip(
  branches: BranchSet,
  peers: PeerCalls,
  { processId = "own", freshness = Freshness.create(systemClock) } = {},
): Gossip {
  return Gossip.create({
    processId,
    address: () => processId,
    branches,
    freshness,
    peers,
    clock: systemClock,
    log: createSilentLogger(),
    extendDigest: (digest) => digest,
    onPeerDigest: () => {},
  });
}

function createCallsTo(peer: BranchSet): PeerCalls {
  const peerGossip = createGossip(peer, FAILING_CALLS, { processId: "peer" });
  return {
    ...FAILING_CALLS,
    exchange: (_address, digest) =>
      Promise.resolve(ok(peerGossip.answer(digest))),
    fetchFromPeer: (_address, teams) =>
      Promise.resolve(ok(selectBranches(peer, { teams }))),
  };
}

const FAILING_CALLS: PeerCalls = {
  exchange: () => Promise.resolve(err(CALL_FAILED)),
  fetchFromPeer: () => Promise.resolve(err(CALL_FAILED)),
  fetchFromAgent: () => Promise.resolve(err(CALL_FAILED)),
  pushToAgent: () => Promise.resolve(err(CALL_FAILED)),
};

test("a team that a peer deleted and no longer lists is deleted", async () => {
  const peer = createBranchSet(["a", 3n]);
  peer.markCompleteTo(9n);
  const own = createBranchSet(["a", 3n], ["b", 5n], ["c", 11n]);
  await createGossip(own, createCallsTo(peer)).exchangeWith("peer");
  assert.equal(own.get("b"), undefined);
  assert.equal(own.get("c")?.revision, 11n);
  assert.equal(own.completeTo, 9n);
});

test("a change during an exchange does not delete teams", async () => {
  const peer = createBranchSet(["a", 3n], ["b", 5n]);
  peer.markCompleteTo(9n);
  const own = createBranchSet(["a", 3n], ["b", 4n]);
  const calls = createCallsTo(peer);
  let asked = 0;
  const exchange = async (address: string, digest: VersionDigest) => {
    // The sets differ at the first answer. At the second one they are equal, so the peer lists no
    // versions; then they differ again. The empty list must not delete all teams.
    if (++asked === 1) {
      const answer = await calls.exchange(address, digest);
      return answer.map((reply) => ({ ...reply, versions: [], hash: 1n }));
    }
    own.apply({ team: "b", revision: 5n, json: STORED_JSON });
    const answer = await calls.exchange(address, { ...digest, hash: own.hash });
    own.apply({ team: "c", revision: 6n, json: STORED_JSON });
    return answer.map((reply) => ({ ...reply, hash: digest.hash }));
  };
  await createGossip(own, { ...calls, exchange }).exchangeWith("peer");
  assert.equal(asked, 2);
  assert.deepEqual(own.all().filter(({ json }) => json.length === 0), []);
});

test("a failed fetch does not advance the complete revision", async () => {
  const peer = createBranchSet(["a", 3n], ["b", 5n]);
  peer.markCompleteTo(9n);
  const own = createBranchSet(["a", 3n]);
  const calls = createCallsTo(peer);
  const failing = { ...calls, fetchFromPeer: FAILING_CALLS.fetchFromPeer };
  await createGossip(own, failing).exchangeWith("peer");
  assert.equal(own.completeTo, 0n);
  await createGossip(own, calls).exchangeWith("peer");
  assert.equal(own.completeTo, 9n);
  assert.equal(own.get("b")?.revision, 5n);
});

test("the age of a peer's confirmation is adopted", () => {
  const fresh = Freshness.create(systemClock);
  fresh.recordPeerConfirmation(500, systemClock.nowMs());
  assert(fresh.confirmedAgeMs >= 500 && fresh.contactAgeMs === Infinity);
  fresh.recordPeerConfirmation(0xffff_ffff, systemClock.nowMs());
  assert(fresh.confirmedAgeMs < 0xffff_ffff);
});

test("a process does not record itself as a peer", async () => {
  const own = createBranchSet(["a", 3n]);
  const freshness = Freshness.create(systemClock);
  const answering = createGossip(own, FAILING_CALLS);
  const exchange: PeerCalls["exchange"] = (_address, digest) =>
    Promise.resolve(ok(answering.answer(digest)));
  const gossip = createGossip(own, { ...FAILING_CALLS, exchange }, {
    freshness,
  });
  await gossip.exchangeWith("elsewhere");
  assert.equal(freshness.contactAgeMs, Infinity);
  assert.deepEqual(gossip.peerTable.all(), []);
});

test("a peer is recorded under the address that was called", async () => {
  const peer = createBranchSet(["a", 3n]);
  const gossip = createGossip(createBranchSet(), createCallsTo(peer));
  await gossip.exchangeWith("10.0.0.9:7700");
  assert.equal(gossip.peerTable.get("10.0.0.9:7700")?.processId, "peer");
});
