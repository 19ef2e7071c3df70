/** Streams of engines whose software has several versions, for tests. */
import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type AttemptOptions,
  type EntryAddress,
  MODEL_REQUEST_HEADERS,
  readStream,
  resumeHeaders,
  type ResumePoint,
  type StandinBackendServer,
  type StandinBackendServerOptions,
  type StandinPlatformStore,
  type StreamAttempt,
  toRequestHeaders,
} from "../standin/mod.ts";
import { openLongTimeoutSetup } from "./_long_timeout_kit.ts";
import type { LongTimeoutSetup } from "./_long_timeout_kit.ts";
import { LONG_TIMEOUT_MS } from "./_long_timeout_kit.ts";
import { ORIGIN_RECORD_PREFIX } from "./origin_record.ts";
import { stateContains, until } from "./_world.ts";

/** Pause between attempts that an overloaded entry refuses. */
const RETRY_PAUSE_MS = 100;
/** Number of events of each stream. */
export const EVENTS = 12;
const EVENT_MS = 40;
/** Streams that begin together: enough that some would go to another version by chance. */
const STREAMS = 8;

/** Starts engines of a software version, and waits until all entries know them. */
export type StartEngines = (
  softwareVersion: string,
  ids: string[],
  options?: Partial<StandinBackendServerOptions>,
) => Promise<StandinBackendServer[]>;

/** Entries, and the way to start engines. */
export interface VersionsSetup extends LongTimeoutSetup {
  startEngines: StartEngines;
}

/** A stream in progress. */
export interface OpenStream {
  id: string;
  /** Number of events that have arrived. */
  eventCount(): number;
  hasEnded(): boolean;
  ended: Promise<StreamAttempt>;
}

/**
 * @param t The test; everything is stopped at its end.
 * @param options Number of entries.
 * @returns Entries without engines, whose routes allow long streams and several attempts.
 */
export async function openVersionsSetup(
  t: TestContext,
  { entryCount = 1 }: { entryCount?: number } = {},
): Promise<VersionsSetup> {
  const setup = await openLongTimeoutSetup(t, { entryCount, maxAttempts: 4 });
  const startEngines: StartEngines = async (
    softwareVersion,
    ids,
    options = {},
  ) => {
    const engines: StandinBackendServer[] = [];
    for (const id of ids) {
      const engine = await setup.worker(id, {
        model: "m",
        events: EVENTS,
        eventMs: EVENT_MS,
        softwareVersion,
        ...options,
      });
      engines.push(engine);
      for (const entry of setup.entries) {
        await until(() => stateContains(entry, id));
      }
    }
    return engines;
  };
  return { ...setup, startEngines };
}

/**
 * Starts a stream.
 *
 * @param entry Entry to ask.
 * @param id Id of the attempt.
 * @param options Where to take up an earlier stream, and when to break off.
 * @returns The stream.
 */
export function openStream(
  entry: EntryAddress,
  id: string,
  { from, breakAfterEvents }: {
    from?: ResumePoint;
    breakAfterEvents?: number;
  } = {},
): OpenStream {
  let eventCount = 0;
  let hasEnded = false;
  const ended = readUntilAccepted(entry, {
    path: `/stream/${id}`,
    headers: {
      ...MODEL_REQUEST_HEADERS,
      ...toRequestHeaders({ id, timeMs: LONG_TIMEOUT_MS }),
      ...(from ? resumeHeaders(from) : {}),
    },
    breakAfterEvents,
    onEvent: () => eventCount++,
  });
  void ended.then(() => hasEnded = true);
  return {
    id,
    eventCount: () => eventCount,
    hasEnded: () => hasEnded,
    ended,
  };
}

/**
 * Starts several streams and waits until each has some events.
 *
 * @param entry Entry to ask.
 * @param options Prefix of the ids, and when to break off.
 * @returns The streams.
 */
export async function openStreams(
  entry: EntryAddress,
  { prefix = "s", breakAfterEvents }: {
    prefix?: string;
    breakAfterEvents?: number;
  } = {},
): Promise<OpenStream[]> {
  const streams = Array.from(
    { length: STREAMS },
    (_, i) => openStream(entry, `${prefix}-${i}`, { breakAfterEvents }),
  );
  for (const { eventCount, hasEnded } of streams) {
    await until(() => eventCount() >= 2 || hasEnded());
    assert.ok(eventCount() >= 2);
  }
  return streams;
}

/**
 * Takes streams up again where they broke off.
 *
 * @param entry Entry to ask.
 * @param broken Ids of the attempts that brought the first events, and all events so far.
 * @param options Suffix of the new attempts' ids, and when to break off again.
 * @returns The new attempts, in order.
 */
export function takeUp(
  entry: EntryAddress,
  broken: readonly { id: string; events: StreamAttempt["events"] }[],
  { suffix = "again", breakAfterEvents }: {
    suffix?: string;
    breakAfterEvents?: number;
  } = {},
): Promise<StreamAttempt[]> {
  return Promise.all(broken.map(({ id, events }) => {
    const from = { firstId: id, lastEventId: events.at(-1)!.id };
    const options = { from, breakAfterEvents };
    return openStream(entry, `${id}-${suffix}`, options).ended;
  }));
}

/**
 * @param streams Streams whose clients break off.
 * @returns Their ids and events.
 */
export function brokenOff(
  streams: readonly OpenStream[],
): Promise<{ id: string; events: StreamAttempt["events"] }[]> {
  return Promise.all(streams.map(async ({ id, ended }) => ({
    id,
    events: (await ended).events,
  })));
}

/**
 * @param store The stand-in for the store.
 * @returns The text of all records of streams.
 */
export async function readOriginRecords(
  { store }: StandinPlatformStore,
): Promise<string> {
  const listing = await store.list(ORIGIN_RECORD_PREFIX);
  const { entries } = listing.unwrapOrElse(() => assert.fail());
  return entries.map(({ value }) => new TextDecoder().decode(value)).join();
}

/**
 * Repeats an attempt while the entry refuses it as it is overloaded. A stream that can't go on is
 * refused without a pause.
 */
async function readUntilAccepted(
  entry: EntryAddress,
  options: AttemptOptions,
): Promise<StreamAttempt> {
  while (true) {
    const attempt = await readStream(entry, options);
    if (attempt.status !== 503 || Number(attempt.retryAfter) === 0) {
      return attempt;
    }
    await sleep(RETRY_PAUSE_MS);
  }
}
