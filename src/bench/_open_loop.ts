/** Open-loop load: requests are sent at their scheduled times, however long earlier ones take. */
import { seededRandom } from "../base/random.ts";
import { setTimeout as delay } from "node:timers/promises";
import hdr, { type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

const UNITS_PER_MS = 1000;
const EVENT_END = Buffer.from("\n\n");
const DONE = Buffer.from("data: [DONE]");
const DRAIN_MS = 60_000;

/** One series of requests. */
export interface LoadOptions {
  /** Base URL with an OpenAI-compatible interface. */
  url: string;
  headers: Record<string, string>;
  requestsPerSecond: number;
  durationMs: number;
  seed: number;
  /** @param index Number of the request. @returns Its body. */
  body: (index: number) => Record<string, unknown>;
}

/** What a series gave. Times are in µs in the histograms. */
export interface LoadResult {
  /** From the scheduled time to the first piece. */
  ttft: Histogram;
  /** Between two pieces of a stream. */
  gap: Histogram;
  requests: number;
  pieces: number;
  failures: string[];
  elapsedMs: number;
}

/** Quantiles of a histogram, in ms. */
export interface Quantiles {
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
}

/**
 * Sends streamed chat requests with exponential gaps between them.
 *
 * @param options Where, how many and what.
 * @returns Times and counts, after all answers.
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const result = emptyResult();
  const dispatcher = new Agent({ connections: null, pipelining: 1 });
  const random = seededRandom(options.seed);
  const startMs = performance.now();
  const running = new Set<Promise<void>>();
  let atMs = startMs;
  for (let index = 0; atMs - startMs < options.durationMs; index++) {
    const waitMs = atMs - performance.now();
    if (waitMs > 0) await delay(waitMs);
    const sent = sendOne(options, { index, atMs, dispatcher, result });
    running.add(sent);
    void sent.finally(() => running.delete(sent));
    atMs += -Math.log(1 - random()) * 1000 / options.requestsPerSecond;
  }
  await Promise.race([
    Promise.all(running),
    delay(DRAIN_MS, undefined, { ref: false }),
  ]);
  if (running.size > 0) result.failures.push(`${running.size} without an end`);
  result.elapsedMs = performance.now() - startMs;
  await dispatcher.destroy();
  return result;
}

/**
 * @param histogram Times in µs.
 * @returns The usual quantiles, in ms.
 */
export function quantilesOf(histogram: Histogram): Quantiles {
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return { p50Ms: at(50), p95Ms: at(95), p99Ms: at(99) };
}

interface Sending {
  index: number;
  atMs: number;
  dispatcher: Agent;
  result: LoadResult;
}

async function sendOne(options: LoadOptions, sending: Sending): Promise<void> {
  const { result } = sending;
  try {
    await streamOne(options, sending);
    result.requests += 1;
  } catch (error) {
    result.failures.push(error instanceof Error ? error.message : "unknown");
  }
}

async function streamOne(
  options: LoadOptions,
  { index, atMs, dispatcher, result }: Sending,
): Promise<void> {
  const { statusCode, body } = await request(
    `${options.url}/v1/chat/completions`,
    {
      method: "POST",
      headers: { "content-type": "application/json", ...options.headers },
      body: JSON.stringify({ ...options.body(index), stream: true }),
      dispatcher,
    },
  );
  if (statusCode !== 200) {
    throw new Error(`Status ${statusCode}: ${await body.text()}`);
  }
  let previousMs = 0;
  let isDone = false;
  for await (const chunk of body) {
    const nowMs = performance.now();
    for (let events = countEvents(chunk); events > 0; events--) {
      if (previousMs === 0) record(result.ttft, nowMs - atMs);
      else record(result.gap, nowMs - previousMs);
      previousMs = nowMs;
      result.pieces += 1;
    }
    isDone ||= chunk.includes(DONE);
  }
  if (!isDone) throw new Error("The stream ended without [DONE]");
}

function countEvents(chunk: Buffer): number {
  let events = 0;
  let at = chunk.indexOf(EVENT_END);
  while (at >= 0) {
    events += 1;
    at = chunk.indexOf(EVENT_END, at + EVENT_END.length);
  }
  return events;
}

function record(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(0, Math.round(ms * UNITS_PER_MS)));
}

function emptyResult(): LoadResult {
  return {
    ttft: hdr.build({ numberOfSignificantValueDigits: 3 }),
    gap: hdr.build({ numberOfSignificantValueDigits: 3 }),
    requests: 0,
    pieces: 0,
    failures: [],
    elapsedMs: 0,
  };
}
