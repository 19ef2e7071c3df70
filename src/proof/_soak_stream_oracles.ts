/** Checks the streams of a soak, over all attempts of their clients. */
import { writersOf } from "../standin/mod.ts";
import {
  type SoakHistory,
  STABLE_MS,
  STORE,
  type StreamAttemptRecord,
  type Violation,
} from "./_soak_history.ts";

/** Streams that may hold events of two software versions. */
const ALLOWED_JOINED = 2;
/** Number of events of a whole stream. */
const STREAM_EVENTS = 6;
/** Fewer take-ups are not judged. */
const MIN_TAKE_UPS = 12;

/**
 * @param history A soak's history.
 * @returns All broken promises about streams.
 */
export function findStreamViolations(history: SoakHistory): Violation[] {
  return [
    ...findJoinedStreams(history),
    ...findBrokenSequences(history),
    ...findRefusedTakeUps(history),
  ];
}

/**
 * @param history A soak's history.
 * @returns The streams that hold events of several software versions, whether that is allowed or not.
 */
export function joinedStreams({ streams }: SoakHistory): Violation[] {
  return streams
    .filter(({ events }) => writersOf(events).length > 1)
    .map(({ id, events, attempts }) => ({
      promise: "one_software_version",
      atMs: attempts.at(-1)!.atMs,
      detail: `${id} holds events of ${
        events.map(({ id, serverId, softwareVersion }) =>
          `${id} ${serverId} ${softwareVersion}`
        ).join(", ")
      }, attempts at entries ${attempts.map(({ entry }) => entry).join(", ")}`,
    }));
}

/** Some streams may be joined: an entry can't know at once that a server has restarted. */
function findJoinedStreams(history: SoakHistory): Violation[] {
  const joined = joinedStreams(history);
  return joined.length > ALLOWED_JOINED ? joined : [];
}

function findBrokenSequences({ streams }: SoakHistory): Violation[] {
  return streams
    .filter(({ events, isWhole }) =>
      events.some(({ id }, i) => id !== i + 1) ||
      (isWhole && events.length !== STREAM_EVENTS)
    )
    .map(({ id, events, attempts }) => ({
      promise: "each_event_once",
      atMs: attempts.at(-1)!.atMs,
      detail: `${id} has events ${events.map(({ id }) => id).join(", ")}`,
    }));
}

/**
 * While two servers of a stream's version serve, a calm entry must take it up half as often as it
 * begins new streams.
 */
function findRefusedTakeUps(history: SoakHistory): Violation[] {
  const { streams, disruptions, versions } = history;
  const isCalm = ({ entry, atMs, endedAtMs }: StreamAttemptRecord) =>
    !disruptions.some((one) =>
      (one.entry === entry || one.entry === STORE) &&
      one.fromMs <= endedAtMs && one.toMs >= atMs - STABLE_MS
    );
  const isServed = (version: string, attempt: StreamAttemptRecord) =>
    versions.filter(({ softwareVersion, fromMs, toMs }) =>
      softwareVersion === version && fromMs <= attempt.atMs &&
      toMs >= attempt.endedAtMs
    ).length >= 2;
  const attempts = streams.flatMap(({ events, attempts }) =>
    attempts.filter(isCalm).map((attempt) => ({ attempt, events }))
  );
  const begun = attempts.filter(({ attempt }) => !attempt.isTakenUp);
  const takenUp = attempts.filter(({ attempt, events }) =>
    attempt.isTakenUp && isServed(events[0]!.softwareVersion, attempt)
  );
  if (takenUp.length < MIN_TAKE_UPS) return [];
  const shareOf = (some: typeof attempts) =>
    some.filter(({ attempt }) => attempt.hasBegun).length /
    Math.max(1, some.length);
  const [newShare, share] = [shareOf(begun), shareOf(takenUp)];
  if (share >= newShare / 2) return [];
  return [{
    promise: "streams_go_on",
    atMs: takenUp[0]!.attempt.atMs,
    detail: `${share.toFixed(2)} of ${takenUp.length} take-ups went on, ${
      newShare.toFixed(2)
    } of ${begun.length} new streams began`,
  }];
}
