import assert from "node:assert/strict";
import { test } from "node:test";
import type { Offer } from "../wire/gen/cicadahitch.ts";
import { type Member, MemberTable } from "./member_table.ts";
import { createPolicy } from "./create_policy.ts";
import { Mechanism, type PlacementRequest } from "./policy.ts";
import { PolicyName } from "./policy_name.ts";
import { topRows } from "./rendezvous.ts";

const ZONES = ["a", "b", "c"];

function tableOf(size: number, zone?: string): MemberTable<Member> {
  const members = Array.from({ length: size }, (_, i) => ({
    id: `server-${i}`,
    zone: zone ?? ZONES[i % 3]!,
  }));
  return MemberTable.create(members);
}

function requestOf(...keys: number[]): PlacementRequest {
  const levels = keys.map((key, i) => ({
    blocks: 10 * (i + 1),
    key: keyFrom(key),
  }));
  const last = {
    blocks: 10 * (keys.length + 1),
    key: keyFrom(7777 + keys.at(-1)!),
  };
  return {
    levels,
    points: [...levels, last],
    promptTokens: 3000,
    recomputePriceMs: 0.1,
  };
}

function keyFrom(key: number): bigint {
  return BigInt.asUintN(64, BigInt(key) * 0x9e3779b97f4a7c15n);
}

function offerOf(fields: Partial<Offer>): Offer {
  return {
    holdId: "",
    matchedTokens: 0,
    recomputeTokens: 0,
    expectedTtftMs: 0,
    queueMs: 0,
    engineIncarnation: "e",
    weightsVersion: "",
    running: 0,
    waiting: 0,
    ...fields,
  };
}

function policyAt(clock: { nowMs: number }, without: Mechanism[] = []) {
  let state = 1;
  return createPolicy(PolicyName.Offers, {
    zone: "a",
    zoneRttMs: { a: 0.2, b: 0.5, c: 0.5, far: 60 },
    nowMs: () => clock.nowMs,
    random: () => (state = (state * 16807) % 2147483647) / 2147483647,
    without: new Set(without),
  });
}

test("a smaller count returns the first rows of a larger one", () => {
  const { idHashes } = tableOf(50);
  const eight = topRows(idHashes, keyFrom(3), { count: 8 });
  assert.deepEqual(
    topRows(idHashes, keyFrom(3), { count: 3 }),
    eight.slice(0, 3),
  );
});

test("losing a server moves only its own keys", () => {
  const { idHashes } = tableOf(20);
  for (let key = 1; key < 200; key++) {
    const [first, second] = topRows(idHashes, keyFrom(key), { count: 2 });
    const [after] = topRows(idHashes, keyFrom(key), {
      count: 1,
      skip: new Set([4]),
    });
    assert.equal(after, first === 4 ? second : first);
  }
});

test("keys are spread evenly over rows", () => {
  const { idHashes } = tableOf(10);
  const counts = new Array(10).fill(0);
  for (let key = 1; key <= 10_000; key++) {
    counts[topRows(idHashes, keyFrom(key), { count: 1 })[0]!]++;
  }
  assert.ok(
    Math.min(...counts) > 850 && Math.max(...counts) < 1150,
    `${counts}`,
  );
});

test("deep levels select among the servers of the shallow level, plus one outside", () => {
  const table = tableOf(40);
  const policy = policyAt({ nowMs: 0 });
  const narrowest = new Set<string>();
  const asked = new Set<string>();
  for (let deepKey = 100; deepKey < 160; deepKey++) {
    const ids = policy.candidates(requestOf(1, deepKey), table).map(({ id }) =>
      id
    );
    assert.equal(ids.length, 3);
    for (const id of ids.slice(0, 2)) narrowest.add(id);
    for (const id of ids) asked.add(id);
  }
  assert.equal(narrowest.size, 2);
  assert.equal(asked.size, 4);
});

test("a hot prefix widens and narrows again", () => {
  const clock = { nowMs: 0 };
  const table = tableOf(40);
  const policy = policyAt(clock, [Mechanism.Hints]);
  const countFirstChoices = (queueMs: number) => {
    const seen = new Set<string>();
    for (let i = 0; i < 100; i++) {
      clock.nowMs += 200;
      const request = requestOf(1, 200 + i);
      const [member] = policy.candidates(request, table);
      seen.add(member!.id);
      const offer = offerOf({ queueMs });
      policy.recordObservation({
        kind: "placed",
        request,
        memberId: member!.id,
        offer,
      });
    }
    return seen.size;
  };
  const wide = countFirstChoices(200);
  assert.ok(wide > 8, `${wide}`);
  for (let i = 0; i < 10; i++) countFirstChoices(0);
  const narrow = countFirstChoices(0);
  assert.ok(narrow <= 3, `${narrow}`);
});

test("the server that last took a prefix is asked first", () => {
  const policy = policyAt({ nowMs: 0 });
  const table = tableOf(40);
  const request = requestOf(1, 2);
  const own = policy.candidates(request, table).map(({ id }) => id);
  const memberId = table.members.find(({ id }) => !own.includes(id))!.id;
  policy.recordObservation({
    kind: "placed",
    request,
    memberId,
    offer: offerOf({}),
  });
  assert.equal(policy.candidates(request, table)[0]!.id, memberId);
});

test("tried servers and servers in backoff are excluded", () => {
  const clock = { nowMs: 0 };
  const policy = policyAt(clock);
  const table = tableOf(3);
  const request = requestOf(1, 2);
  const [first, second] = policy.candidates(request, table);
  policy.recordObservation({ kind: "failed", memberId: first!.id });
  assert.ok(!policy.candidates(request, table).includes(first!));
  const excludedIds = new Set([second!.id]);
  const left = policy.candidates({ ...request, excludedIds }, table);
  assert.deepEqual(
    left,
    table.members.filter((m) => m !== first && m !== second),
  );
  clock.nowMs = 10_000;
  assert.ok(policy.candidates(request, table).includes(first!));
  assert.ok(
    !policy.candidates(request, table).includes(first!),
    "Expected a single probe",
  );
});

test("servers in backoff are candidates if there are no others", () => {
  const policy = policyAt({ nowMs: 0 });
  const table = tableOf(2);
  for (const { id } of table.members) {
    policy.recordObservation({ kind: "failed", memberId: id });
  }
  assert.equal(policy.candidates(requestOf(1), table).length, 2);
  const excludedIds = new Set(table.members.map(({ id }) => id));
  assert.deepEqual(
    policy.candidates({ ...requestOf(1), excludedIds }, table),
    [],
  );
});

test("the round trip to a zone counts as waiting time", () => {
  const policy = policyAt({ nowMs: 0 });
  const near = {
    member: { id: "n", zone: "b" },
    offer: offerOf({ expectedTtftMs: 150 }),
  };
  const far = {
    member: { id: "f", zone: "far" },
    offer: offerOf({ expectedTtftMs: 100 }),
  };
  const unknown = {
    member: { id: "u", zone: "?" },
    offer: offerOf({ expectedTtftMs: 90 }),
  };
  assert.equal(policy.choose(requestOf(1), [far, near]), near);
  near.offer.expectedTtftMs = 170;
  assert.equal(policy.choose(requestOf(1), [near, far]), far);
  assert.equal(policy.choose(requestOf(1), [near, far, unknown]), unknown);
  const ignoringZones = policyAt({ nowMs: 0 }, [Mechanism.Zones]);
  near.offer.expectedTtftMs = 110;
  assert.equal(ignoringZones.choose(requestOf(1), [near, far]), far);
});

test("the price weighs recomputed tokens against waiting time", () => {
  const policy = policyAt({ nowMs: 0 });
  const [one, two] = tableOf(2, "a").members;
  const waits = { member: one!, offer: offerOf({ expectedTtftMs: 300 }) };
  const recomputes = {
    member: two!,
    offer: offerOf({ expectedTtftMs: 200, recomputeTokens: 2000 }),
  };
  const offers = [waits, recomputes];
  const request = requestOf(1);
  assert.equal(policy.choose(request, offers), waits);
  assert.equal(
    policy.choose({ ...request, recomputePriceMs: 0 }, offers),
    recomputes,
  );
});

test("load decides among equal offers", () => {
  const policy = policyAt({ nowMs: 0 });
  const [one, two] = tableOf(2, "a").members;
  const busy = {
    member: one!,
    offer: offerOf({ expectedTtftMs: 100, running: 9 }),
  };
  const idle = {
    member: two!,
    offer: offerOf({ expectedTtftMs: 102, running: 1 }),
  };
  assert.equal(policy.choose(requestOf(1), [busy, idle]), idle);
  assert.equal(policy.choose(requestOf(1), []), undefined);
});

test("a baseline picks one server, and another once that is excluded", () => {
  const table = tableOf(5);
  for (const name of Object.values(PolicyName)) {
    if (name === PolicyName.Offers) continue;
    const policy = createPolicy(name, {
      zone: "a",
      zoneRttMs: {},
      nowMs: () => 0,
      random: () => 0.3,
    });
    const [first, ...rest] = policy.candidates(requestOf(1), table);
    assert.equal(rest.length, 0);
    const excludedIds = new Set([first!.id]);
    const [next] = policy.candidates({ ...requestOf(1), excludedIds }, table);
    assert.notEqual(next, first);
  }
});
