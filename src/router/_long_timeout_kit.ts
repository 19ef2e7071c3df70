/**
 * Test setups whose requests have much more time than any simulated pause, and checks of the
 * answers.
 */
import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  attemptIdOf,
  type ClientResponse,
  completeStreamBody,
  configWith,
  MODEL_REQUEST_HEADERS,
  NO_FAULTS,
  sendClientRequest,
  type StandinBackendServer,
  type StandinBackendServerFaults,
  toRequestHeaders,
} from "../standin/mod.ts";
import { type LogLine, recordedLog } from "./_kit.ts";
import {
  openWorld,
  stateContains,
  type TestEntry,
  until,
  useConfig,
  type World,
} from "./_world.ts";

/** Much longer than any simulated pause, even on a loaded computer. */
export const LONG_TIMEOUT_MS = 30_000;
/** Headers of a model request with the timeout {@link LONG_TIMEOUT_MS}. */
export const LONG_TIMEOUT_HEADERS: Record<string, string> = {
  ...MODEL_REQUEST_HEADERS,
  ...toRequestHeaders({ timeMs: LONG_TIMEOUT_MS }),
};

/** Pause of clients between retries. */
const RETRY_PAUSE_MS = 100;
/**
 * Resends that the platform allows in addition to a fifth of the requests; no test here has five.
 */
const RESEND_SLACK = 54;

/** A test setup that records the log lines of its entries. */
export interface LongTimeoutSetup extends World {
  lines: LogLine[];
}

/** Settings of a {@link LongTimeoutSetup}. */
export interface LongTimeoutSetupOptions {
  entryCount?: number;
  /** Overrides the limit of all routes, if given. */
  maxAttempts?: number;
}

/**
 * Starts entries that know each other, with routes whose timeout is {@link LONG_TIMEOUT_MS}.
 *
 * @param t The test; everything is stopped at its end.
 * @param options Number of entries, and maximum attempts per request.
 * @returns The running setup.
 */
export async function openLongTimeoutSetup(
  t: TestContext,
  { entryCount = 1, maxAttempts }: LongTimeoutSetupOptions = {},
): Promise<LongTimeoutSetup> {
  const { log, lines } = recordedLog();
  const world = await openWorld(t, { entryCount, log });
  await useConfig(
    world,
    configWith(2, { timeoutMs: LONG_TIMEOUT_MS, maxAttempts }),
  );
  for (const entry of world.entries) {
    await until(() =>
      stateContains(entry, `"entries":${entryCount}`) &&
      stateContains(entry, '"configVersion":2')
    );
  }
  return { ...world, lines };
}

/**
 * Sends a request and retries it as long as it was refused and has not run: on a loaded computer an
 * entry may refuse requests before it sends them.
 *
 * @param world Its servers record whether the request has run.
 * @param path Path and query.
 * @param options Headers, and the entry to ask; default: the first entry.
 * @returns The client's answer.
 */
export async function askUntilAccepted(
  world: World,
  path: string,
  { headers = LONG_TIMEOUT_HEADERS, entry = world }: {
    headers?: Record<string, string>;
    entry?: TestEntry;
  } = {},
): Promise<ClientResponse> {
  const id = attemptIdOf(headers) ?? "attempt-1";
  const hasRun = () =>
    world.workers.some(({ runs }) =>
      runs.some((run) => attemptIdOf(run.headers) === id)
    );
  while (true) {
    const asked = await sendClientRequest(entry, path, headers);
    if (asked.status !== 503 || hasRun()) return asked;
    await sleep(RETRY_PAUSE_MS);
  }
}

/**
 * Sends another request, with a prompt of its own.
 *
 * @param world The running setup.
 * @param i Number of the request.
 * @param entry The entry to ask; default: the first one.
 * @returns The client's answer.
 */
export function askOtherRequest(
  world: World,
  i: number,
  entry: TestEntry = world,
): Promise<ClientResponse> {
  const headers = {
    ...LONG_TIMEOUT_HEADERS,
    ...toRequestHeaders({ id: `other-${i}`, prompt: i }),
  };
  return askUntilAccepted(world, `/stream/other-${i}`, { headers, entry });
}

/**
 * Asserts that a client received a complete stream.
 *
 * @param asked The client's answer.
 * @param what Message on failure.
 * @param options Number of events of a complete stream.
 */
export function assertComplete(
  { isComplete, body, status }: ClientResponse,
  what?: string,
  { events = 4 }: { events?: number } = {},
): void {
  assert.equal(status, 200, what);
  assert.ok(isComplete, what);
  assert.equal(body, completeStreamBody(events), what);
}

/**
 * Asserts that all clients received complete streams and that resends stayed within their limit.
 *
 * @param world The running setup.
 * @param asked The clients' answers.
 * @param options Number of events of a complete stream, and total number of requests.
 */
export function assertAllComplete(
  world: LongTimeoutSetup,
  asked: ClientResponse[],
  options: { events?: number; requests?: number } = {},
): void {
  for (const answer of asked) {
    const { status, isComplete, body } = answer;
    const eventCount = body.split("\n\n").length - 1;
    const seen = {
      status,
      isComplete,
      eventCount,
      entry: requestsOf(world.lines),
    };
    assertComplete(answer, JSON.stringify(seen), options);
  }
  assertResendsWithinLimits(world, options.requests ?? asked.length);
}

/**
 * Counts runs.
 *
 * @param world The running setup.
 * @returns Number of runs on its servers; a request that ran twice counts twice.
 */
export function runsOf(world: World): number {
  return world.workers.flatMap(({ runs }) => runs).length;
}

/**
 * Makes a server refuse all requests for some time, as not run.
 *
 * @param worker The server.
 * @param forMs How long.
 */
export function refuseFor(worker: StandinBackendServer, forMs: number): void {
  worker.faults.refuse = Infinity;
  setTimeout(() => worker.faults.refuse = 0, forMs);
}

/** Two engines, each with a running stream. */
export interface StreamPerEngine {
  engines: StandinBackendServer[];
  /** In the order of the engines. */
  answers: Promise<ClientResponse>[];
}

/** Number of events of the streams of a {@link StreamPerEngine}. */
export const LONG_EVENTS = 60;

/**
 * Starts a stream on each of two engines, long enough to be moved. While the entries lack current
 * load data of each other, the choice of the engine is random, so only one engine accepts requests
 * when each stream starts.
 *
 * @param world A setup without engines.
 * @param options Route name of the streams, and headers.
 * @returns The running streams.
 */
export async function startStreamPerEngine(
  world: World,
  { route = "stream", headers = MODEL_REQUEST_HEADERS, faults = {} }: {
    route?: string;
    headers?: Record<string, string>;
    /** Faults of both engines. */
    faults?: Partial<StandinBackendServerFaults>;
  } = {},
): Promise<StreamPerEngine> {
  const slow = () => ({
    model: "m",
    events: LONG_EVENTS,
    eventMs: 25,
    faults: { ...NO_FAULTS, ...faults },
  });
  const askAt = async (engine: StandinBackendServer, prompt: number) => {
    const own = toRequestHeaders({ id: `long-${prompt}`, prompt });
    const answer = askUntilAccepted(world, `/${route}/${prompt}`, {
      headers: { ...headers, ...own },
    });
    await until(() => engine.runs.length > 0);
    return { answer };
  };
  const first = await world.worker("i-1", slow());
  const atFirst = await askAt(first, 0);
  const second = await world.worker("i-2", slow());
  const key = "servers/i-1";
  const isLeaving = (entry: TestEntry) =>
    stateContains(entry, '"leaving":true');
  await world.store.put(key, first.entry("engines", { state: "draining" }));
  await until(() => isLeaving(world));
  const atSecond = await askAt(second, 1);
  await world.store.put(key, first.entry("engines"));
  await until(() => !world.entries.some(isLeaving));
  return {
    engines: [first, second],
    answers: [atFirst.answer, atSecond.answer],
  };
}

/** Holds back the events of a stream until a test opens it. */
export interface Gate {
  opened: Promise<void>;
  open(): void;
}

/**
 * Creates a closed gate.
 *
 * @returns The gate.
 */
export function createClosedGate(): Gate {
  let open = () => {};
  const opened = new Promise<void>((resolve) => open = resolve);
  return { opened, open };
}

function assertResendsWithinLimits(world: World, requests: number): void {
  const refused = world.workers.reduce((sum, { refused }) => sum + refused, 0);
  const resends = runsOf(world) + refused - requests;
  assert.ok(resends <= requests * 0.2 + RESEND_SLACK, `${resends} resends`);
}

/**
 * Extracts the request log lines.
 *
 * @param lines Log lines of the entries.
 * @returns For each request, its servers and how it ended.
 */
export function requestsOf(lines: LogLine[]): LogLine[] {
  return lines.filter(({ event }) => event === "request").map((
    { servers, ends, notResent, outcome, reason, tookMs },
  ) => ({ servers, ends, notResent, outcome, reason, tookMs }));
}
