/** Each oracle is shown a history that breaks its promise, and one that does not. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  ClientRecord,
  ServingVersion,
  SoakHistory,
  StreamRecord,
} from "./_soak_history.ts";
import { promisesBroken as brokenIn } from "./_soak_history_kit.ts";

const ANSWERED = {
  kind: "answered",
  status: 200,
  isOwnAnswer: true,
  declaredEnd: "length",
} as const;
const CLIENT: ClientRecord = {
  id: "r-1",
  entry: 0,
  isIdempotent: false,
  sentAtMs: 10_000,
  deadlineMs: 4000,
  endedAtMs: 10_100,
  end: ANSWERED,
};
const RUN = { requestId: "r-1", server: 0, atMs: 10_050 };

function promisesBroken(parts: Partial<SoakHistory>): string[] {
  return brokenIn({ clients: [CLIENT], ...parts });
}

test("request that runs twice breaks at-most-once, unless it may be repeated", () => {
  const runs = [RUN, RUN];
  assert.deepEqual(promisesBroken({ runs }), ["at_most_once"]);
  const clients = [{ ...CLIENT, isIdempotent: true }];
  assert.deepEqual(promisesBroken({ runs, clients }), []);
  assert.deepEqual(promisesBroken({ runs: [RUN] }), []);
});

test("refused request that runs breaks the promise of refusals", () => {
  const end = { ...ANSWERED, status: 503, isOwnAnswer: false };
  const clients = [{ ...CLIENT, end }];
  assert.deepEqual(promisesBroken({ clients, runs: [RUN] }), ["true_refusals"]);
  assert.deepEqual(promisesBroken({ clients }), []);
});

test("request that runs and is answered as none breaks the promise of refusals", () => {
  const end = { ...ANSWERED, status: 400, isOwnAnswer: false };
  const clients = [{ ...CLIENT, end }];
  assert.deepEqual(promisesBroken({ clients, runs: [RUN] }), ["true_refusals"]);
});

test("success that is not the whole answer to the request is found", () => {
  const end = { ...ANSWERED, isOwnAnswer: false };
  const clients = [{ ...CLIENT, end }];
  assert.deepEqual(promisesBroken({ clients }), ["own_whole_answer"]);
});

test("request that a planned stop cuts is found, one cut by a kill is not", () => {
  const end = { kind: "broken", reason: "ECONNRESET" } as const;
  const clients = [{ ...CLIENT, end }];
  const stop = { entry: 0, fromMs: 9000, toMs: 11_000, isPlanned: true };
  const cut = ["planned_stop_cuts_nothing"];
  assert.deepEqual(
    promisesBroken({ clients, runs: [RUN], disruptions: [stop] }),
    cut,
  );
  const kill = { ...stop, isPlanned: false };
  assert.deepEqual(
    promisesBroken({ clients, runs: [RUN], disruptions: [kill] }),
    [],
  );
  assert.deepEqual(promisesBroken({ clients, disruptions: [stop] }), []);
});

test("only a request that may not run again may end with its server", () => {
  const end = { kind: "broken", reason: "answer_cut" } as const;
  const restarts = [{ server: 0, atMs: 10_060 }];
  const clients = [{ ...CLIENT, end }];
  assert.deepEqual(promisesBroken({ clients, runs: [RUN], restarts }), []);
  const cut = ["planned_stop_cuts_nothing"];
  const other = [{ server: 1, atMs: 10_060 }];
  assert.deepEqual(
    promisesBroken({ clients, runs: [RUN], restarts: other }),
    cut,
  );
  const resumable = [{ ...CLIENT, end, isIdempotent: true }];
  assert.deepEqual(
    promisesBroken({ clients: resumable, runs: [RUN], restarts }),
    cut,
  );
});

test("request whose deadline has passed may be cut, an earlier one may not", () => {
  const end = { kind: "broken", reason: "answer_cut" } as const;
  const expired = [{ ...CLIENT, end, endedAtMs: 14_000 }];
  assert.deepEqual(promisesBroken({ clients: expired, runs: [RUN] }), []);
  const cut = ["planned_stop_cuts_nothing"];
  const early = [{ ...CLIENT, end, endedAtMs: 13_900 }];
  assert.deepEqual(promisesBroken({ clients: early, runs: [RUN] }), cut);
});

test("server that gets more than its rate allows is found", () => {
  const arrivals = Array.from({ length: 18 }, (_, i) => ({
    requestId: "r-1",
    server: 0,
    atMs: 10_000 + i * 200,
  }));
  const rates = [{ server: 0, fromMs: 5000, perSecond: 2 }];
  assert.deepEqual(promisesBroken({ arrivals, rates }), ["server_rate"]);
  const allowed = arrivals.slice(0, 17);
  assert.deepEqual(promisesBroken({ arrivals: allowed, rates }), []);
  const isFrozen = { entry: 0, fromMs: 0, toMs: 20_000, isPlanned: false };
  const disruptions = [isFrozen];
  assert.deepEqual(promisesBroken({ arrivals, rates, disruptions }), []);
  const late = [{ server: 0, fromMs: 8000, perSecond: 2 }];
  assert.deepEqual(promisesBroken({ arrivals, rates: late }), []);
});

/** A stream of six events, whose last ones another server wrote, taken up once. */
function streamOf(
  id: string,
  { first = "v1", last = "v1", hasBegun = true }: {
    first?: string;
    last?: string;
    hasBegun?: boolean;
  },
): StreamRecord {
  const event = (id: number, softwareVersion: string) => ({
    id,
    serverId: `i-${softwareVersion}`,
    softwareVersion,
  });
  const ids = hasBegun ? [1, 2, 3, 4, 5, 6] : [1, 2, 3];
  const attempt = { entry: 0, atMs: 10_000, endedAtMs: 10_100 };
  return {
    id,
    isWhole: hasBegun,
    events: ids.map((id) => event(id, id <= 3 ? first : last)),
    attempts: [
      { ...attempt, isTakenUp: false, hasBegun: true },
      { ...attempt, isTakenUp: true, hasBegun },
    ],
  };
}

// Guards against a tolerance for restarted servers that hides joins between servers with ids of their own.
test("stream of several software versions is found, two are allowed to servers that restarted", () => {
  const joined = ["a", "b", "c"].map((id) => streamOf(id, { last: "v2" }));
  const broken = joined.map(() => "one_software_version");
  const found = (streams: StreamRecord[], versions: ServingVersion[]) =>
    promisesBroken({ streams, versions });
  const serving = { server: 1, fromMs: 0, toMs: Infinity };
  const versions = [
    { ...serving, serverId: "i-v1", softwareVersion: "v1" },
    { ...serving, serverId: "i-v2", softwareVersion: "v2" },
  ];
  assert.deepEqual(found(joined, versions), broken);
  assert.deepEqual(found(joined.slice(2), versions), broken.slice(2));
  const restartedAt = (atMs: number) => [
    versions[0]!,
    { ...versions[1]!, toMs: atMs },
    { ...versions[1]!, softwareVersion: "v3", fromMs: atMs },
  ];
  const restarted = restartedAt(10_050);
  assert.deepEqual(found(joined, restarted), broken);
  assert.deepEqual(
    found(joined.slice(2), restartedAt(10_150)),
    broken.slice(2),
  );
  assert.deepEqual(found(joined.slice(2), restartedAt(3900)), broken.slice(2));
  assert.deepEqual(found(joined.slice(1), restarted), []);
  // The restarted server excuses its own joins only.
  const twice = streamOf("d", { last: "v2" });
  twice.events.push({ id: 7, serverId: "i-v3", softwareVersion: "v3" });
  twice.events.push({ id: 8, serverId: "i-v4", softwareVersion: "v4" });
  twice.isWhole = false;
  assert.deepEqual(found([twice], restarted), broken.slice(2));
  assert.deepEqual(found([streamOf("e", {})], versions), []);
});

test("event that is missing or comes twice in a stream is found", () => {
  const missing = streamOf("a", {});
  missing.events.splice(3, 1);
  const twice = streamOf("a", {});
  twice.events.splice(3, 0, twice.events[2]!);
  for (const stream of [missing, twice]) {
    assert.deepEqual(promisesBroken({ streams: [stream] }), [
      "each_event_once",
    ]);
  }
});

test("take-ups that are refused too often are found while two servers could go on", () => {
  const streams = Array.from(
    { length: 12 },
    (_, i) => streamOf(`s-${i}`, { hasBegun: i < 5 }),
  );
  const serving = [1, 3].map((server) => ({
    server,
    serverId: `i-${server}`,
    softwareVersion: "v1",
    fromMs: 0,
    toMs: Infinity,
  }));
  const broken = ["streams_go_on"];
  assert.deepEqual(promisesBroken({ streams, versions: serving }), broken);
  const half = [...streams.slice(0, 11), streamOf("s", {})];
  assert.deepEqual(promisesBroken({ streams: half, versions: serving }), []);
  const one = serving.slice(1);
  assert.deepEqual(promisesBroken({ streams, versions: one }), []);
  const kill = { entry: 0, fromMs: 9000, toMs: 9500, isPlanned: false };
  assert.deepEqual(
    promisesBroken({ streams, versions: serving, disruptions: [kill] }),
    [],
  );
});

test("stream that is cut is excused only if its software version has left", () => {
  const end = { kind: "broken", reason: "answer_cut" } as const;
  const clients = [{
    ...CLIENT,
    end,
    isIdempotent: true,
    softwareVersion: "v1",
  }];
  const serving = {
    server: 1,
    serverId: "i-1",
    softwareVersion: "v1",
    fromMs: 0,
    toMs: Infinity,
  };
  assert.deepEqual(
    promisesBroken({ clients, runs: [RUN], versions: [serving] }),
    ["planned_stop_cuts_nothing"],
  );
  const left = { ...serving, toMs: 10_050 };
  assert.deepEqual(
    promisesBroken({ clients, runs: [RUN], versions: [left] }),
    [],
  );
});

const CRASHES = [0, 1, 2, 3, 4].map((i) => ({
  server: i,
  atMs: 20_000 + 100 * i,
}));
/** Longer after the fifth crash than a part may stay unknown. */
const KNOWN_MS = 24_000;

test("requests with a crashing part that reach servers late are counted from the fifth crash on", () => {
  const crashingRequests = [0, 1, 2, 3].map((i) => ({
    id: `bad-${i}`,
    entry: 0,
    sentAtMs: KNOWN_MS,
  }));
  const arrivals = crashingRequests.map(({ id }) => ({
    requestId: id,
    server: 5,
    atMs: KNOWN_MS,
  }));
  const history = { clients: [], crashingRequests, arrivals };
  const broken = ["crashing_part_is_stopped"];
  assert.deepEqual(promisesBroken({ ...history, crashes: CRASHES }), broken);
  const crashes = CRASHES.slice(1);
  assert.deepEqual(promisesBroken({ ...history, crashes }), []);
  assert.deepEqual(
    promisesBroken({
      ...history,
      crashes: CRASHES,
      arrivals: arrivals.slice(1),
    }),
    [],
  );
});

test("streams that begin less than half as often while a part crashes servers are found", () => {
  const at = (sentAtMs: number, status: number): ClientRecord[] =>
    Array.from({ length: 20 }, (_, i) => ({
      ...CLIENT,
      id: `s-${sentAtMs}-${i}`,
      sentAtMs,
      endedAtMs: sentAtMs + 100,
      end: { ...ANSWERED, status },
    }));
  const historyWith = (status: number) => {
    const clients = [...at(10_000, 200), ...at(27_000, status)];
    return {
      clients,
      streams: clients.map(({ id }): StreamRecord => ({
        id,
        isWhole: false,
        events: [],
        attempts: [],
      })),
      versions: [0, 1].map((server) => ({
        server,
        serverId: `i-${server}`,
        softwareVersion: "v1",
        fromMs: 0,
        toMs: 20_000,
      })),
      crashes: CRASHES,
      crashingRequests: [19_000, 30_000].map((sentAtMs) => ({
        id: `bad-${sentAtMs}`,
        entry: 0,
        sentAtMs,
      })),
    };
  };
  const found = (status: number) =>
    promisesBroken(historyWith(status)).filter((promise) =>
      promise === "sound_requests_go_on"
    );
  assert.deepEqual(found(503), ["sound_requests_go_on"]);
  assert.deepEqual(found(200), []);
});
