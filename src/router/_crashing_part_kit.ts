/** Engines that requests with one part of a prompt crash, and the clients that send such requests. */
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  MODEL_REQUEST_HEADERS,
  NO_FAULTS,
  restartServer,
  sendClientRequest,
  type StandinBackendServerFaults,
  toRequestHeaders,
} from "../standin/mod.ts";
import {
  openWorld,
  stateContains,
  type TestEntry,
  until,
  type World,
} from "./_world.ts";

/** Part that crashes servers. */
export const BAD_PART = "bad0";
/**
 * The platform counts requests with the part that reach servers later than this after the fifth crash,
 * and sound requests from twice this time on.
 */
export const STABLE_MS = 3000;
const ENGINES = 12;
/** Time after which a crashed engine is back, unless a test gives another one. */
const RETURN_MS = 2500;
/** Pause between two requests of a kind. */
const PAUSE_MS = 60;
/** Streams that may not be resumed. */
const ONCE_PATH = "/once/a";
/** Crash after which the platform counts requests with the part. */
const COUNTED_CRASH = 5;

/** Returns the parts of the prompt of the request with this number, each as `id:tokens`. */
export type PromptOf = (number: number) => string[];

/** A request and its answer. */
export interface SentRequest {
  id: string;
  atMs: number;
  /** HTTP status; 0 if no answer began. */
  status: number;
}

/** Options of {@link CrashingFleet.send}. */
export interface SendOptions {
  /** For how long to send. */
  forMs: number;
  entries?: TestEntry[];
  path?: string;
}

/** Entries and engines. */
export interface CrashingFleet {
  world: World;
  faults: StandinBackendServerFaults;
  /** When engines crashed. */
  crashAtMs: number[];
  /** Sends requests with the part, to the entries in turn. */
  sendBad(promptOf: PromptOf, options: SendOptions): Promise<SentRequest[]>;
  /** Sends requests without the part, to the entries in turn. */
  sendSound(promptOf: PromptOf, options: SendOptions): Promise<SentRequest[]>;
  /** Number of requests with the part that reached engines later than {@link STABLE_MS} after the fifth crash. */
  lateArrivals(): number;
}

/**
 * @param t The test.
 * @param options Number of entries, time after which a crashed engine is back, and faults of the engines beside the crashes.
 * @returns Entries that know all engines.
 */
export async function openCrashingFleet(
  t: TestContext,
  { entryCount = 3, returnMs = RETURN_MS, ...other }:
    & { entryCount?: number; returnMs?: number }
    & Partial<StandinBackendServerFaults> = {},
): Promise<CrashingFleet> {
  const world = await openWorld(t, { entryCount });
  const faults = { ...NO_FAULTS, endOnPart: BAD_PART, ...other };
  const crashAtMs: number[] = [];
  for (let i = 0; i < ENGINES; i++) await addEngine(t, world, i);
  await until(() =>
    world.entries.every((entry) =>
      stateContains(entry, `"i-${ENGINES - 1}"`) &&
      stateContains(entry, `"entries":${entryCount}`)
    )
  );
  let sentCount = 0;
  const send = (kind: string) => (promptOf: PromptOf, options: SendOptions) =>
    sendAll(
      promptOf,
      { entries: world.entries, ...options },
      (number) => `${kind}-${number}-${sentCount++}`,
    );
  return {
    world,
    faults,
    crashAtMs,
    sendBad: send("bad"),
    sendSound: send("sound"),
    lateArrivals: () => countLateArrivals(world, crashAtMs),
  };

  async function addEngine(
    t: TestContext,
    world: World,
    index: number,
  ): Promise<void> {
    const engine = await world.worker(`i-${index}`, {
      model: "m",
      faults,
      onCrash: () => {
        crashAtMs.push(performance.now());
        timers.push(setTimeout(() => void comeBack(), returnMs));
      },
    });
    const timers: NodeJS.Timeout[] = [];
    t.after(() => timers.forEach(clearTimeout));
    const comeBack = async () => {
      await restartServer(engine);
      await world.store.put(`servers/${engine.id}`, engine.entry("engines"));
    };
  }
}

/**
 * @param sent Requests.
 * @returns The share of them whose answer began at once.
 */
export function servedShare(sent: readonly SentRequest[]): number {
  const served = sent.filter(({ status }) => status === 200);
  return served.length / Math.max(1, sent.length);
}

/**
 * @param sent Requests.
 * @param fromMs Earliest time.
 * @returns Those that were sent from then on.
 */
export function sentFrom(
  sent: readonly SentRequest[],
  fromMs: number,
): SentRequest[] {
  return sent.filter(({ atMs }) => atMs >= fromMs);
}

function countLateArrivals(
  { workers }: World,
  crashAtMs: readonly number[],
): number {
  const fifthAtMs = crashAtMs[COUNTED_CRASH - 1] ?? Infinity;
  return workers.flatMap(({ arrivals }) => arrivals)
    .filter(({ requestId, atMs }) =>
      requestId.startsWith("bad") && atMs > fifthAtMs + STABLE_MS
    ).length;
}

async function sendAll(
  promptOf: PromptOf,
  { forMs, entries = [], path = ONCE_PATH }: SendOptions,
  idOf: (number: number) => string,
): Promise<SentRequest[]> {
  const sent: Promise<SentRequest>[] = [];
  const endMs = performance.now() + forMs;
  for (let number = 0; performance.now() < endMs; number++) {
    const entry = entries[number % entries.length]!;
    sent.push(sendOne(entry, path, {
      id: idOf(number),
      parts: promptOf(number),
    }));
    await sleep(PAUSE_MS);
  }
  return await Promise.all(sent);
}

async function sendOne(
  entry: TestEntry,
  path: string,
  { id, parts }: { id: string; parts: string[] },
): Promise<SentRequest> {
  const atMs = performance.now();
  const headers = {
    ...MODEL_REQUEST_HEADERS,
    ...toRequestHeaders({ id, parts }),
  };
  try {
    // Requests are told apart by their path, as no two of them are the same.
    const { status, isComplete } = await sendClientRequest(
      entry,
      `${path}-${id}`,
      headers,
    );
    return { id, atMs, status: isComplete ? status : 0 };
  } catch {
    return { id, atMs, status: 0 };
  }
}
