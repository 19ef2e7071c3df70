/** Each check of the store is shown a history that breaks its promise, and ones that do not. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ClientRecord, STORE } from "./_soak_history.ts";
import { promisesBroken } from "./_soak_history_kit.ts";

const ERAS = [{ era: 1, fromMs: 0 }, { era: 2, fromMs: 10_000 }];
/** The store was away until the second era began. */
const OUTAGE = { entry: STORE, fromMs: 9500, toMs: 10_000, isPlanned: false };
const LEAVING = { serverId: "i-0", era: 2, atMs: 14_000 };

const CLIENT: ClientRecord = {
  id: "r-1",
  entry: 0,
  isIdempotent: false,
  sentAtMs: 16_050,
  deadlineMs: 4000,
  endedAtMs: 16_150,
  end: {
    kind: "answered",
    status: 200,
    isOwnAnswer: true,
    declaredEnd: "length",
  },
};
const ARRIVAL = { requestId: "r-1", server: 0, serverId: "i-0", atMs: 16_100 };

test("request that reaches a server late after it said that it leaves is found", () => {
  const history = {
    clients: [CLIENT],
    arrivals: [ARRIVAL],
    leavingAcks: [LEAVING],
    eras: ERAS,
    disruptions: [OUTAGE],
  };
  const broken = ["leaving_server_gets_no_requests"];
  const found = (parts: Partial<typeof history>) =>
    promisesBroken({ ...history, ...parts });
  assert.deepEqual(found({}), broken);
  assert.deepEqual(found({ arrivals: [{ ...ARRIVAL, atMs: 15_900 }] }), []);
  assert.deepEqual(
    found({ arrivals: [{ ...ARRIVAL, serverId: "i-0-1" }] }),
    [],
  );
  // A server whose announcement the store lost with its era has to leave again.
  const lost = { ...LEAVING, era: 1, atMs: 5000 };
  assert.deepEqual(found({ leavingAcks: [lost] }), []);
  assert.deepEqual(found({ leavingAcks: [lost, LEAVING] }), broken);
  const unstable = { ...LEAVING, atMs: 12_000 };
  assert.deepEqual(found({ leavingAcks: [unstable] }), []);
  const freeze = { entry: 0, fromMs: 12_000, toMs: 13_200, isPlanned: false };
  assert.deepEqual(found({ disruptions: [OUTAGE, freeze] }), []);
  const other = { ...freeze, entry: 1 };
  assert.deepEqual(found({ disruptions: [OUTAGE, other] }), broken);
  const early = { ...freeze, toMs: 13_000 };
  assert.deepEqual(found({ disruptions: [OUTAGE, early] }), broken);
});

const SAMPLE = { entry: 0, pid: 1, version: 1, atMs: 16_100 };

test("entry in touch without the newest configuration is found", () => {
  const history = {
    clients: [],
    eras: ERAS,
    disruptions: [OUTAGE],
    configAcks: [{ version: 1, era: 1, atMs: 100 }, {
      version: 2,
      era: 2,
      atMs: 14_000,
    }],
    configSamples: [SAMPLE, { ...SAMPLE, atMs: 16_300 }],
  };
  const broken = ["newest_configuration_is_known"];
  const found = (parts: Partial<typeof history>) =>
    promisesBroken({ ...history, ...parts });
  assert.deepEqual(found({}), broken);
  assert.deepEqual(found({ configSamples: [{ ...SAMPLE, version: 2 }] }), []);
  assert.deepEqual(found({ configSamples: [{ ...SAMPLE, atMs: 15_900 }] }), []);
  const lost = [{ version: 2, era: 1, atMs: 9000 }];
  assert.deepEqual(found({ configAcks: lost }), []);
  const rewritten = [...lost, { version: 2, era: 2, atMs: 11_000 }];
  assert.deepEqual(found({ configAcks: rewritten }), broken);
  const cut = { entry: 0, fromMs: 12_000, toMs: 13_400, isPlanned: false };
  assert.deepEqual(found({ disruptions: [OUTAGE, cut] }), []);
  assert.deepEqual(
    found({ disruptions: [OUTAGE, { ...cut, entry: 1 }] }),
    broken,
  );
});

test("entry whose configuration goes back is found, a new process may know less", () => {
  const newer = { ...SAMPLE, version: 2, atMs: 16_000 };
  const broken = ["configuration_never_goes_back"];
  const found = (configSamples: typeof SAMPLE[]) =>
    promisesBroken({ clients: [], configSamples });
  assert.deepEqual(found([newer, SAMPLE]), broken);
  assert.deepEqual(found([newer, { ...SAMPLE, pid: 2 }]), []);
  assert.deepEqual(found([newer, { ...SAMPLE, entry: 1 }]), []);
  assert.deepEqual(found([SAMPLE, { ...newer, atMs: 16_200 }]), []);
});

test("entry that calls the store more often than its intervals allow is found", () => {
  const callsAt = (intervalMs: number, count: number) =>
    Array.from({ length: 4 * count }, (_, i) => ({
      entry: i % 4,
      atMs: Math.floor(i / 4) * intervalMs,
    }));
  const found = (intervalMs: number, count: number) =>
    promisesBroken({ clients: [], storeCalls: callsAt(intervalMs, count) });
  const broken = "store_calls_are_bounded";
  assert.deepEqual(found(37, 27), []);
  assert.deepEqual(found(35, 28), [broken, broken, broken, broken]);
  assert.deepEqual(found(100, 1000), []);
});
