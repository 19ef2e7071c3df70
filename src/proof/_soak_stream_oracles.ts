/** Checks the streams of a soak, over all attempts of their clients. */
import { type MarkedEvent, writersOf } from "../standin/mod.ts";
import {
  type ServingVersion,
  type SoakHistory,
  STABLE_MS,
  STORE,
  type StreamAttemptRecord,
  type StreamRecord,
  type Violation,
} from "./_soak_history.ts";

/** Streams that may be joined by servers that restarted under their ids with another version. */
const ALLOWED_JOINED_BY_RESTART = 2;
/** Time within which an entry knows of such a restart, also after most disruptions. */
const RESTART_KNOWN_MS = 2 * STABLE_MS;
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

/** Streams that hold events of several software versions. */
export interface JoinedStreams {
  /** The version changes between two servers that didn't change theirs under their ids lately. */
  byOwnIds: Violation[];
  /** The version changes only at servers that restarted under their ids with another one. */
  byRestart: Violation[];
}

/**
 * @param history A soak's history.
 * @returns The streams that hold events of several software versions, whether that is allowed or not.
 */
export function joinedStreams(
  { streams, versions }: SoakHistory,
): JoinedStreams {
  const joined: JoinedStreams = { byOwnIds: [], byRestart: [] };
  for (const stream of streams) {
    const { events } = stream;
    if (writersOf(events).length < 2) continue;
    const restarted = restartedIds(versions, stream);
    const isByRestart = events.every((event, i) => {
      const next = events[i + 1] ?? event;
      return event.softwareVersion === next.softwareVersion ||
        restarted.has(event.serverId) || restarted.has(next.serverId);
    });
    const list = isByRestart ? joined.byRestart : joined.byOwnIds;
    list.push(describeJoined(stream));
  }
  return joined;
}

/** An entry can't know at once that a server has restarted under its id. */
function findJoinedStreams(history: SoakHistory): Violation[] {
  const { byOwnIds, byRestart } = joinedStreams(history);
  const isAllowed = byRestart.length <= ALLOWED_JOINED_BY_RESTART;
  return isAllowed ? byOwnIds : [...byOwnIds, ...byRestart];
}

/** Servers that restarted under their ids with another version during the stream, or shortly before. */
function restartedIds(
  versions: readonly ServingVersion[],
  { attempts }: StreamRecord,
): Set<string> {
  const fromMs = attempts[0]!.atMs - RESTART_KNOWN_MS;
  const toMs = attempts.at(-1)!.endedAtMs;
  const after = versions.filter((one, i) => {
    const before = versions.slice(0, i).findLast(({ serverId }) =>
      serverId === one.serverId
    );
    return before && before.softwareVersion !== one.softwareVersion &&
      before.toMs <= toMs && one.fromMs >= fromMs;
  });
  return new Set(after.map(({ serverId }) => serverId));
}

function describeJoined({ id, events, attempts }: StreamRecord): Violation {
  const describe = ({ id, serverId, softwareVersion }: MarkedEvent) =>
    `${id} ${serverId} ${softwareVersion}`;
  return {
    promise: "one_software_version",
    atMs: attempts.at(-1)!.atMs,
    detail: `${id} holds events of ${events.map(describe).join(", ")}, ` +
      `attempts at entries ${attempts.map(({ entry }) => entry).join(", ")}`,
  };
}

function findBrokenSequences({ streams }: SoakHistory): Violation[] {
  return streams
    .filter(({ events, isWhole }) =>
      events.some(({ id }, i) => id !== i + 1) ||
      (isWhole && events.length !== STREAM_EVENTS)
    )
    .map(({ id, events, attempts, isWhole }) => ({
      promise: "each_event_once",
      atMs: attempts.at(-1)!.atMs,
      detail: `${id} has events ${events.map(({ id }) => id).join(", ")}` +
        `, ${isWhole ? "complete" : "incomplete"} for its client, attempts ` +
        `at entries ${attempts.map(({ entry }) => entry).join(", ")}`,
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
