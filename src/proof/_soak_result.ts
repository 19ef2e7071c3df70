/** What a soak showed. */
import { attemptIdOf, type StandinBackendServer } from "../standin/mod.ts";
import { countUnframed, type UnframedCounts } from "./_soak_answer_oracles.ts";
import type { SoakFleet } from "./_soak_fleet.ts";
import type { ClientEnd, SoakHistory, Violation } from "./_soak_history.ts";
import { findViolations } from "./_soak_oracles.ts";
import { countStore, type StoreCounts } from "./_soak_store_oracles.ts";
import { type JoinedStreams, joinedStreams } from "./_soak_stream_oracles.ts";

/** Numbers of streams. */
export interface StreamCounts {
  /** Streams that hold events of several software versions. */
  joined: JoinedStreams;
  /** Attempts to take up a stream. */
  takenUp: number;
  /** Those of them that went on. */
  wentOn: number;
}

/** Broken promises of a soak, and what happened. */
export interface SoakResult {
  violations: Violation[];
  /** Requests by how they ended. */
  counts: Record<string, number>;
  streams: StreamCounts;
  unframed: UnframedCounts;
  store: StoreCounts;
  history: SoakHistory;
  /** Start of the requests, by the clock of the history. */
  startedAtMs: number;
}

/**
 * @param history What happened, complete.
 * @param startedAtMs Start of the requests, by the clock of the history.
 * @returns Broken promises, and numbers.
 */
export function resultOf(
  history: SoakHistory,
  startedAtMs: number,
): SoakResult {
  return {
    violations: findViolations(history),
    counts: countEnds(history),
    streams: countStreams(history),
    unframed: countUnframed(history),
    store: countStore(history),
    history,
    startedAtMs,
  };
}

/**
 * Adds what all servers recorded.
 *
 * @param history Receives the records.
 * @param fleet The servers.
 */
export function addServerRecords(
  history: SoakHistory,
  { servers, replaced }: Pick<SoakFleet, "servers" | "replaced">,
): void {
  for (const [index, server] of servers.entries()) {
    addRecordsOf(history, index, server);
  }
  for (const { index, server } of replaced) {
    addRecordsOf(history, index, server);
  }
}

function addRecordsOf(
  history: SoakHistory,
  server: number,
  { arrivals, runs, unframedAnswers }: StandinBackendServer,
): void {
  const atMsById = new Map(
    arrivals.map(({ requestId, atMs }) => [requestId, atMs]),
  );
  for (const arrival of arrivals) {
    history.arrivals.push({ server, ...arrival });
  }
  for (const { headers } of runs) {
    const requestId = String(attemptIdOf(headers));
    const atMs = atMsById.get(requestId) ?? 0;
    history.runs.push({ server, atMs, requestId });
  }
  for (const cut of unframedAnswers.cut) {
    history.cutAnswers.push({ server, ...cut });
  }
  for (const { requestId, atMs } of unframedAnswers.whole) {
    history.wholeAnswers.push({ server, atMs, requestId });
  }
}

function countStreams(history: SoakHistory): StreamCounts {
  const takenUp = history.streams.flatMap(({ attempts }) =>
    attempts.filter(({ isTakenUp }) => isTakenUp)
  );
  return {
    joined: joinedStreams(history),
    takenUp: takenUp.length,
    wentOn: takenUp.filter(({ hasBegun }) => hasBegun).length,
  };
}

function countEnds({ clients }: SoakHistory): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { end } of clients) {
    const name = nameOf(end);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function nameOf(end: ClientEnd): string {
  switch (end.kind) {
    case "answered":
      return String(end.status);
    case "broken":
      return end.reason;
    case "left":
      return "client_left";
  }
}
