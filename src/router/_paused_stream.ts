/** Test streams whose engine pauses while other engines have faults of their own. */
import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import {
  type ClientResponse,
  NO_FAULTS,
  type StandinBackendServer,
  type StandinBackendServerFaults,
  toRequestHeaders,
} from "../standin/mod.ts";
import {
  askOtherRequest,
  askUntilAccepted,
  assertAllComplete,
  LONG_TIMEOUT_HEADERS,
  type LongTimeoutSetup,
  type LongTimeoutSetupOptions,
  openLongTimeoutSetup,
  runsOf,
} from "./_long_timeout_kit.ts";
import { until } from "./_world.ts";

/** Longer than an entry waits for an event while another engine could run the request. */
export const PAUSE_MS = 3000;
/** Longer than any request's deadline: the engine never goes on. */
export const GONE_MS = 60_000;
/** Number of faults above the maximum of sends of a request. */
export const EVERY_TIME = 99;

/** Faults of an engine other than the pausing one. */
export type OtherFaults = Partial<StandinBackendServerFaults>;

/** A stream in flight whose engine pauses. */
export interface Paused {
  world: LongTimeoutSetup;
  pausing: StandinBackendServer;
  others: StandinBackendServer[];
  answer: Promise<ClientResponse>;
}

/** Options of a {@link Paused} stream. */
export interface PausedOptions extends LongTimeoutSetupOptions {
  stall?: StandinBackendServerFaults["stall"];
  path?: string;
  timeMs?: number;
}

/**
 * Starts a stream at the only engine, then adds the other engines.
 *
 * @param t The test; its end stops everything.
 * @param others Faults of the engines that join once the stream runs.
 * @param options Options of the request and of the pause.
 * @returns The stream and its engines.
 */
export async function pausedStream(
  t: TestContext,
  others: OtherFaults[],
  options: PausedOptions = {},
): Promise<Paused> {
  const world = await openLongTimeoutSetup(t, options);
  const pausing = await world.engine("i-1");
  // Two requests give each entry a resend budget of one, not two.
  for (const i of [1, 2]) await askOtherRequest(world, i);
  pausing.runs.length = 0;
  pausing.faults.stall = options.stall ??
    { afterEvent: 2, pauseMs: PAUSE_MS };
  const headers = {
    ...LONG_TIMEOUT_HEADERS,
    ...toRequestHeaders({ timeMs: options.timeMs }),
  };
  const answer = askUntilAccepted(world, options.path ?? "/stream/a", {
    headers,
  });
  await until(() => pausing.runs.length > 0);
  const made: StandinBackendServer[] = [];
  for (const [i, faults] of others.entries()) {
    const own = { ...NO_FAULTS, ...faults };
    made.push(await world.worker(`i-${i + 2}`, { model: "m", faults: own }));
  }
  return { world, pausing, others: made, answer };
}

/**
 * Asserts that the client gets the whole stream, in at most two runs.
 *
 * @param t The test.
 * @param others Faults of the engines other than the pausing one.
 * @param options Options of the stream.
 */
export async function assertSurvivesPause(
  t: TestContext,
  others: OtherFaults[],
  options: PausedOptions = {},
): Promise<void> {
  const { world, answer } = await pausedStream(t, others, options);
  assertAllComplete(world, [await answer]);
  assert.ok(runsOf(world) <= 2);
}
