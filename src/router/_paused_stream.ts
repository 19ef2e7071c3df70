/** Streams that pause at the engine that runs them, beside engines with faults of their own. */
import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import {
  type Asked,
  headersOf,
  NO_FAULTS,
  type StandinPlatformWorker,
  type StandinPlatformWorkerFaults,
} from "../standin/mod.ts";
import {
  ASKED,
  askOther,
  askTaken,
  assertAllWhole,
  openPatientWorld,
  type PatientWorld,
  type PatientWorldOptions,
  runsOf,
} from "./_patient_world.ts";
import { until } from "./_world.ts";

/** Longer than an entry waits for an event while another engine may have it. */
export const PAUSE_MS = 3000;
export const GONE_MS = 60_000;
/** More often than a request is ever sent. */
export const OFTEN = 99;

/** Faults of the engines that are there besides the one that pauses. */
export type OtherFaults = Partial<StandinPlatformWorkerFaults>;

/** A stream that pauses. */
export interface Paused {
  world: PatientWorld;
  pausing: StandinPlatformWorker;
  others: StandinPlatformWorker[];
  answer: Promise<Asked>;
}

/** How a {@link Paused} stream is asked for. */
export interface PausedOptions extends PatientWorldOptions {
  stall?: StandinPlatformWorkerFaults["stall"];
  path?: string;
  timeMs?: number;
}

/**
 * @param t The test; its end stops everything.
 * @param others Engines that come once the stream runs.
 * @param options How it is asked for.
 * @returns A stream that runs at the engine that will pause.
 */
export async function pausedStream(
  t: TestContext,
  others: OtherFaults[],
  options: PausedOptions = {},
): Promise<Paused> {
  const world = await openPatientWorld(t, options);
  const pausing = await world.engine("i-1");
  // Earns each entry one resend that it may use, and not two.
  for (const i of [1, 2]) await askOther(world, i);
  pausing.runs.length = 0;
  pausing.faults.stall = options.stall ??
    { afterEvent: 2, pauseMs: PAUSE_MS };
  const headers = { ...ASKED, ...headersOf({ timeMs: options.timeMs }) };
  const answer = askTaken(world, options.path ?? "/stream/a", { headers });
  await until(() => pausing.runs.length > 0);
  const made: StandinPlatformWorker[] = [];
  for (const [i, faults] of others.entries()) {
    const own = { ...NO_FAULTS, ...faults };
    made.push(await world.worker(`i-${i + 2}`, { model: "m", faults: own }));
  }
  return { world, pausing, others: made, answer };
}

/**
 * @param t The test.
 * @param others Engines beside the one that pauses.
 * @param options How the stream is asked for.
 */
export async function assertOutlasts(
  t: TestContext,
  others: OtherFaults[],
  options: PausedOptions = {},
): Promise<void> {
  const { world, answer } = await pausedStream(t, others, options);
  assertAllWhole(world, [await answer]);
  assert.ok(runsOf(world) <= 2);
}
