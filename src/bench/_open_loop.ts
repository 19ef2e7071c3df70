/** Open-loop load generator: sends requests on schedule, even while earlier ones are in flight. */
import { seededRandom } from "../base/random.ts";
import { setTimeout as delay } from "node:timers/promises";
import hdr, { type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

const UNITS_PER_MS = 1000;
const EVENT_END = Buffer.from("\n\n");
const DONE = Buffer.from("data: [DONE]");
/** Longest wait for requests in flight after the last one was sent. */
const DRAIN_MS = 60_000;

/** Options of one load run. */
export interface LoadOptions {
  /** Base URL of an OpenAI-compatible API. */
  url: string;
  headers: Record<string, string>;
  requestsPerSecond: number;
  durationMs: number;
  seed: number;
  /** @param index Zero-based request number. @returns The JSON body of that request. */
  body: (index: number) => Record<string, unknown>;
}

/** Result of a load run. The histograms hold microseconds. */
export interface LoadResult {
  /** Time to first token, counted from the scheduled send time. */
  ttft: Histogram;
  /** Time between two consecutive events of a stream. */
  gap: Histogram;
  requests: number;
  pieces: number;
  failures: string[];
  elapsedMs: number;
}

/** Latency quantiles, in ms. */
export interface Quantiles {
  p50Ms: number;
  p95Ms: number;
  p99Ms: number;
}

/**
 * Sends streamed chat requests as a Poisson process: the gaps between them are exponential.
 *
 * @param options Target, rate, duration and request bodies.
 * @returns Latencies and counts, once all requests have ended or {@link DRAIN_MS} has passed.
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const result = emptyResult();
  const dispatcher = new Agent({ connections: null, pipelining: 1 });
  const random = seededRandom(options.seed);
  const startMs = performance.now();
  const inFlight = new Set<Promise<void>>();
  let scheduledMs = startMs;
  for (let index = 0; scheduledMs - startMs < options.durationMs; index++) {
    const waitMs = scheduledMs - performance.now();
    if (waitMs > 0) await delay(waitMs);
    const pending = sendRequest(options, {
      index,
      scheduledMs,
      dispatcher,
      result,
    });
    inFlight.add(pending);
    void pending.finally(() => inFlight.delete(pending));
    scheduledMs += -Math.log(1 - random()) * 1000 / options.requestsPerSecond;
  }
  await Promise.race([
    Promise.all(inFlight),
    delay(DRAIN_MS, undefined, { ref: false }),
  ]);
  if (inFlight.size > 0) result.failures.push(`${inFlight.size} timed out`);
  result.elapsedMs = performance.now() - startMs;
  await dispatcher.destroy();
  return result;
}

/**
 * @param histogram Durations in µs.
 * @returns The 50th, 95th and 99th percentile, in ms.
 */
export function latencyQuantiles(histogram: Histogram): Quantiles {
  const quantileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
  return {
    p50Ms: quantileMs(50),
    p95Ms: quantileMs(95),
    p99Ms: quantileMs(99),
  };
}

interface ScheduledRequest {
  index: number;
  scheduledMs: number;
  dispatcher: Agent;
  result: LoadResult;
}

async function sendRequest(
  options: LoadOptions,
  scheduled: ScheduledRequest,
): Promise<void> {
  const { result } = scheduled;
  try {
    await streamRequest(options, scheduled);
    result.requests += 1;
  } catch (error) {
    result.failures.push(error instanceof Error ? error.message : "unknown");
  }
}

async function streamRequest(
  options: LoadOptions,
  { index, scheduledMs, dispatcher, result }: ScheduledRequest,
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
      if (previousMs === 0) record(result.ttft, nowMs - scheduledMs);
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
  let endIndex = chunk.indexOf(EVENT_END);
  while (endIndex >= 0) {
    events += 1;
    endIndex = chunk.indexOf(EVENT_END, endIndex + EVENT_END.length);
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
