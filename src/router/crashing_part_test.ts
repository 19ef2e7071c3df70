import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  BAD_PART,
  type CrashingFleet,
  openCrashingFleet,
  type PromptOf,
  sentFrom,
  type SentRequest,
  servedShare,
  STABLE_MS,
} from "./_crashing_part_kit.ts";
import { stateContains, type TestEntry, until } from "./_world.ts";

/*
 * Each request with one part in its prompt crashed the server that began to answer it. No two of them
 * were alike, so each was taken for a new request: 19 servers ended in 20 s, and the requests beside
 * them.
 */

/** Requests with the part that the platform allows to reach servers after it should be known. */
const MAX_LATE = 3;
/** Share of the earlier rate at which sound requests must still be served at once. */
const MIN_SOUND_SHARE = 0.5;
/** Time until sound requests count, and some time in which they do. */
const WATCH_MS = 3 * STABLE_MS;
const BEFORE_MS = 1500;
/** Longer than gossip between entries, and the write to the store, take. */
const LEARN_MS = 1000;

const BAD = `${BAD_PART}:200`;
const own = (number: number) => `own${number}:50`;
const soundPrompt: PromptOf = (number) => [
  "shared:1000",
  `topic${number % 3}:200`,
  own(number),
];

const BAD_PROMPTS: [string, PromptOf][] = [
  ["first", (n) => [BAD, `topic${n % 3}:200`, own(n)]],
  ["behind a shared first part", (n) => ["shared:1000", BAD, own(n)]],
  ["among parts that are never the same", (n) => [`u${n}:1000`, BAD, own(n)]],
  [
    "now first, now in the middle",
    (n) => n % 2 ? [BAD, own(n)] : ["shared:1000", BAD, own(n)],
  ],
  [
    "beside a part that comes only with it",
    (n) => ["shared:1000", "beside:100", BAD, own(n)],
  ],
];

async function watch(
  fleet: CrashingFleet,
  { bad, sound }: { bad: PromptOf; sound: PromptOf },
): Promise<void> {
  const before = await fleet.sendSound(soundPrompt, { forMs: BEFORE_MS });
  const [, during] = await Promise.all([
    fleet.sendBad(bad, { forMs: WATCH_MS }),
    fleet.sendSound(sound, { forMs: WATCH_MS }),
  ]);
  const { crashAtMs } = fleet;
  const lastCounted = crashAtMs[4] ?? crashAtMs.at(-1)!;
  const counted = sentFrom(during, lastCounted + 2 * STABLE_MS);
  assert.ok(counted.length >= 20, `${counted.length} sound requests`);
  assertStopped(fleet);
  assertServed(counted, MIN_SOUND_SHARE * servedShare(before));
}

function assertStopped(fleet: CrashingFleet): void {
  const late = fleet.lateArrivals();
  assert.ok(late <= MAX_LATE, `${late} requests with the part were sent late`);
}

function assertServed(sent: SentRequest[], minShare: number): void {
  const share = servedShare(sent);
  assert.ok(share >= minShare, `${share} of ${sent.length} were served`);
}

for (const [position, bad] of BAD_PROMPTS) {
  test(`requests with a part that crashes servers are stopped, and no others: ${position}`, async (t) => {
    await watch(await openCrashingFleet(t), { bad, sound: soundPrompt });
  });
}

test("part that crashes servers before the head of an answer is stopped", async (t) => {
  const fleet = await openCrashingFleet(t, { isEndBeforeHead: true });
  const bad: PromptOf = (n) => ["shared:1000", BAD, own(n)];
  await watch(fleet, { bad, sound: soundPrompt });
});

test("sound requests whose first part came only with a crashing part are served", async (t) => {
  const bad: PromptOf = (n) => ["beside:100", BAD, own(n)];
  const sound: PromptOf = (n) => ["beside:100", own(n)];
  const fleet = await openCrashingFleet(t);
  await Promise.all([
    fleet.sendBad(bad, { forMs: 2 * STABLE_MS + LEARN_MS }),
    fleet.sendSound(soundPrompt, { forMs: 2 * STABLE_MS }),
  ]);
  const [, counted] = await Promise.all([
    fleet.sendBad(bad, { forMs: BEFORE_MS }),
    fleet.sendSound(sound, { forMs: BEFORE_MS }),
  ]);
  assertServed(counted, MIN_SOUND_SHARE);
  assertStopped(fleet);
});

test("crashing part is stopped at entries that got no request with it", async (t) => {
  const fleet = await openCrashingFleet(t);
  const [first, ...others] = fleet.world.entries;
  const bad: PromptOf = (n) => ["shared:1000", BAD, own(n)];
  await fleet.sendBad(bad, { forMs: STABLE_MS, entries: [first!] });
  await sleep(STABLE_MS);
  await fleet.sendBad(bad, { forMs: STABLE_MS, entries: others });
  assertStopped(fleet);
});

test("crashing part stays stopped when all entries restart", async (t) => {
  const fleet = await openCrashingFleet(t);
  const { world } = fleet;
  const bad: PromptOf = (n) => ["shared:1000", BAD, own(n)];
  await fleet.sendBad(bad, { forMs: STABLE_MS });
  await sleep(LEARN_MS);
  const before = [...world.entries];
  await Promise.all(before.map(({ router }) => router.stop()));
  const again: TestEntry[] = [];
  for (const entry of before) again.push(await world.restart(entry));
  await until(() =>
    again.every((entry) => stateContains(entry, '"configVersion":1'))
  );
  await sleep(STABLE_MS);
  await fleet.sendBad(bad, { forMs: STABLE_MS, entries: again });
  assertStopped(fleet);
});

test("entry that starts while the store is away learns of a crashing part from its peers", async (t) => {
  const fleet = await openCrashingFleet(t);
  const { world } = fleet;
  const bad: PromptOf = (n) => ["shared:1000", BAD, own(n)];
  await world.store.down();
  await fleet.sendBad(bad, { forMs: STABLE_MS });
  const last = world.entries[2]!;
  await last.router.stop();
  const again = await world.restart(last);
  await until(() => stateContains(again, '"configVersion":1'));
  await sleep(STABLE_MS);
  await fleet.sendBad(bad, { forMs: STABLE_MS, entries: [again] });
  assertStopped(fleet);
});

test("second crashing part is stopped after a first one", async (t) => {
  const fleet = await openCrashingFleet(t);
  const bad: PromptOf = (n) => ["shared:1000", BAD, own(n)];
  await fleet.sendBad(bad, { forMs: STABLE_MS });
  fleet.faults.endOnPart = "bad1";
  fleet.crashAtMs.length = 0;
  const second: PromptOf = (n) => ["shared:1000", "bad1:100", own(n)];
  await fleet.sendBad(second, { forMs: WATCH_MS });
  assertStopped(fleet);
});

test("resumable requests with a crashing part are not sent on and on", async (t) => {
  const fleet = await openCrashingFleet(t);
  const bad: PromptOf = (n) => ["shared:1000", BAD, own(n)];
  await fleet.sendBad(bad, { forMs: WATCH_MS, path: "/stream/a" });
  assertStopped(fleet);
});

test("servers that are lost for another reason condemn no part", async (t) => {
  const fleet = await openCrashingFleet(t);
  const before = fleet.sendSound(soundPrompt, { forMs: 3 * BEFORE_MS });
  for (const worker of fleet.world.workers.slice(0, 8)) {
    await sleep(BEFORE_MS / 4);
    await worker.down();
  }
  await before;
  const after = await fleet.sendSound(soundPrompt, { forMs: BEFORE_MS });
  assertServed(after, 1);
});

test("rare part whose four requests each met a server that was lost is served", async (t) => {
  const fleet = await openCrashingFleet(t);
  const rare = (n: number) => ["rare:500", "rarer:100", own(n)];
  const { faults, crashAtMs } = fleet;
  faults.endOnPart = "rare";
  while (crashAtMs.length < 4) {
    await fleet.sendSound(rare, { forMs: 1 });
    await sleep(LEARN_MS / 2);
  }
  faults.endOnPart = undefined;
  const after = await fleet.sendSound(rare, { forMs: BEFORE_MS });
  assertServed(after, 1);
});
