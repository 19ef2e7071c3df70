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

const JSON_BYTES = Buffer.from(
  encodeBranch({ format: 1, classes: {}, workspaces: {} }),
);
const BROKEN: CallFailure = { kind: "broken", message: "Test" };

function holding(...versions: [string, bigint][]): BranchSet {
  const branches = BranchSet.create();
  for (const [team, revision] of versions) {
    branches.apply({ team, revision, json: JSON_BYTES });
  }
  return branches;
}

function gossipOver(
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
    extend: (digest) => digest,
    hear: () => {},
  });
}

function callsTo(peer: BranchSet): PeerCalls {
  const answering = gossipOver(peer, NO_CALLS, { processId: "peer" });
  return {
    ...NO_CALLS,
    exchange: (_address, digest) =>
      Promise.resolve(ok(answering.answer(digest))),
    fetchFromPeer: (_address, teams) =>
      Promise.resolve(ok(selectBranches(peer, { teams }))),
  };
}

const NO_CALLS: PeerCalls = {
  exchange: () => Promise.resolve(err(BROKEN)),
  fetchFromPeer: () => Promise.resolve(err(BROKEN)),
  fetchFromAgent: () => Promise.resolve(err(BROKEN)),
  pushToAgent: () => Promise.resolve(err(BROKEN)),
};

test("a delete that the peer no longer lists is taken over", async () => {
  const peer = holding(["a", 3n]);
  peer.completeUpTo(9n);
  const own = holding(["a", 3n], ["b", 5n], ["c", 11n]);
  await gossipOver(own, callsTo(peer)).exchangeWith("peer");
  assert.equal(own.get("b"), undefined);
  assert.equal(own.get("c")?.revision, 11n);
  assert.equal(own.completeTo, 9n);
});

test("a change between question and answer deletes nothing", async () => {
  const peer = holding(["a", 3n], ["b", 5n]);
  peer.completeUpTo(9n);
  const own = holding(["a", 3n], ["b", 4n]);
  const calls = callsTo(peer);
  let asked = 0;
  const exchange = async (address: string, digest: VersionDigest) => {
    // The first answer comes while the sets differ, the second when they were equal for a moment.
    if (++asked === 1) {
      const answer = await calls.exchange(address, digest);
      return answer.map((reply) => ({ ...reply, versions: [], hash: 1n }));
    }
    own.apply({ team: "b", revision: 5n, json: JSON_BYTES });
    const answer = await calls.exchange(address, { ...digest, hash: own.hash });
    own.apply({ team: "c", revision: 6n, json: JSON_BYTES });
    return answer.map((reply) => ({ ...reply, hash: digest.hash }));
  };
  await gossipOver(own, { ...calls, exchange }).exchangeWith("peer");
  assert.equal(asked, 2);
  assert.deepEqual(own.all().filter(({ json }) => json.length === 0), []);
});

test("what could not be fetched is not called known", async () => {
  const peer = holding(["a", 3n], ["b", 5n]);
  peer.completeUpTo(9n);
  const own = holding(["a", 3n]);
  const calls = callsTo(peer);
  const failing = { ...calls, fetchFromPeer: NO_CALLS.fetchFromPeer };
  await gossipOver(own, failing).exchangeWith("peer");
  assert.equal(own.completeTo, 0n);
  await gossipOver(own, calls).exchangeWith("peer");
  assert.equal(own.completeTo, 9n);
  assert.equal(own.get("b")?.revision, 5n);
});

test("the confirmation's age travels", () => {
  const fresh = Freshness.create(systemClock);
  fresh.adopt(500, systemClock.nowMs());
  assert(fresh.confirmedAgeMs >= 500 && fresh.contactAgeMs === Infinity);
  fresh.adopt(0xffff_ffff, systemClock.nowMs());
  assert(fresh.confirmedAgeMs < 0xffff_ffff);
});

test("a process is no peer of its own", async () => {
  const own = holding(["a", 3n]);
  const freshness = Freshness.create(systemClock);
  const answering = gossipOver(own, NO_CALLS);
  const exchange: PeerCalls["exchange"] = (_address, digest) =>
    Promise.resolve(ok(answering.answer(digest)));
  const gossip = gossipOver(own, { ...NO_CALLS, exchange }, { freshness });
  await gossip.exchangeWith("elsewhere");
  assert.equal(freshness.contactAgeMs, Infinity);
  assert.deepEqual(gossip.book.all(), []);
});

test("a peer is known by the address it was asked at", async () => {
  const peer = holding(["a", 3n]);
  const gossip = gossipOver(holding(), callsTo(peer));
  await gossip.exchangeWith("10.0.0.9:7700");
  assert.equal(gossip.book.get("10.0.0.9:7700")?.processId, "peer");
});
