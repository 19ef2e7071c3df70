/** Checks a soak's history, as clients and servers saw it, against what the router promises. */

import {
  type ClientRecord,
  type NamedRate,
  type ServerRecord,
  type SoakHistory,
  STABLE_MS,
  type Violation,
} from "./_soak_history.ts";
import {
  findAnswerViolations,
  hasUnclearEnd,
  MAX_ATTEMPTS,
} from "./_soak_answer_oracles.ts";
import { findCrashViolations } from "./_soak_crash_oracles.ts";
import { findStoreViolations } from "./_soak_store_oracles.ts";
import { findStreamViolations } from "./_soak_stream_oracles.ts";

/** Statuses which promise that the request has not run, or by which the entry says so. */
const NOT_RUN = new Set([400, 408, 413, 421, 429, 431, 503]);
const WINDOW_MS = 4000;
/** Requests allowed in a window: this multiple of the rate, plus a fixed number. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;
/** An entry counts a request's time from when it has read it. */
const DEADLINE_MARGIN_MS = 50;

/**
 * @param history A soak's history.
 * @returns All broken promises.
 */
export function findViolations(history: SoakHistory): Violation[] {
  return [
    ...findRepeats(history),
    ...findFalseRefusals(history),
    ...findWrongAnswers(history),
    ...findCutRequests(history),
    ...findRateExcess(history),
    ...findAnswerViolations(history),
    ...findStoreViolations(history),
    ...findStreamViolations(history),
    ...findCrashViolations(history),
  ];
}

function findRepeats({ clients, runs }: SoakHistory): Violation[] {
  const counts = countRuns(runs);
  return clients
    .filter(({ id, isIdempotent }) =>
      !isIdempotent && (counts.get(id) ?? 0) > 1
    )
    .map(({ id, sentAtMs }) => ({
      promise: "at_most_once",
      atMs: sentAtMs,
      detail: `${id} ran ${counts.get(id)} times`,
    }));
}

function findFalseRefusals({ clients, runs }: SoakHistory): Violation[] {
  const counts = countRuns(runs);
  return clients
    .filter(({ id, isIdempotent, end }) =>
      !isIdempotent && end.kind === "answered" && NOT_RUN.has(end.status) &&
      counts.has(id)
    )
    .map(({ id, endedAtMs }) => ({
      promise: "true_refusals",
      atMs: endedAtMs,
      detail: `${id} was refused, and ran`,
    }));
}

/** Answers that their server itself cut are judged apart. */
function findWrongAnswers({ clients, cutAnswers }: SoakHistory): Violation[] {
  const cutIds = new Set(cutAnswers.map(({ requestId }) => requestId));
  return clients
    .filter(({ id, end }) =>
      end.kind === "answered" && end.status === 200 && !end.isOwnAnswer &&
      !cutIds.has(id)
    )
    .map(({ id, endedAtMs }) => ({
      promise: "own_whole_answer",
      atMs: endedAtMs,
      detail: `${id} got another answer, or a part of one, as complete`,
    }));
}

/**
 * A request that a server ran must be answered, unless its deadline has passed or its entry had an
 * unplanned disruption. One that may not run again ends with its server.
 */
function findCutRequests(history: SoakHistory): Violation[] {
  const { clients, runs, disruptions, restarts, versions } = history;
  const counts = countRuns(runs);
  // Only the software version that began a stream may continue it.
  const isVersionGone = (
    { softwareVersion, sentAtMs, endedAtMs }: ClientRecord,
  ) =>
    softwareVersion !== undefined &&
    !versions.some((one) =>
      one.softwareVersion === softwareVersion && one.fromMs <= sentAtMs &&
      one.toMs >= endedAtMs
    );
  const isServerGone = (
    { id, isIdempotent, sentAtMs, endedAtMs }: ClientRecord,
  ) =>
    !isIdempotent &&
    runs.some(({ requestId, server }) =>
      requestId === id && restarts.some((restart) =>
        restart.server === server && restart.atMs >= sentAtMs &&
        restart.atMs <= endedAtMs
      )
    );
  return clients
    .filter((client) =>
      client.end.kind === "broken" && counts.has(client.id) &&
      !isServerGone(client) && !isVersionGone(client) && !isExpired(client) &&
      !isCutByServers(client, history) && !hasUnclearEnd(client, history) &&
      !disruptions.some((disruption) =>
        !disruption.isPlanned && disruption.entry === client.entry &&
        disruption.fromMs <= client.endedAtMs &&
        disruption.toMs >= client.sentAtMs - STABLE_MS
      )
    )
    .map(({ id, sentAtMs, endedAtMs, end }) => ({
      promise: "planned_stop_cuts_nothing",
      atMs: endedAtMs,
      detail: `${id} ran ${counts.get(id)} times, and its connection ended ` +
        `after ${Math.round(endedAtMs - sentAtMs)} ms: ${
          end.kind === "broken" ? `${end.reason}, ${end.declaredEnd}` : ""
        }; ${describeServers(id, history)}`,
    }));
}

/** The servers that ran a request, and how they ended it. */
function describeServers(
  id: string,
  { runs, wholeAnswers, cutAnswers }: SoakHistory,
): string {
  const serversOf = (records: ServerRecord[]) =>
    records.filter(({ requestId }) => requestId === id)
      .map(({ server }) => server).join(", ") || "none";
  return `at servers ${serversOf(runs)}; ended whole by the connection at ${
    serversOf(wholeAnswers)
  }, cut at ${serversOf(cutAnswers)}`;
}

/** A request whose servers cut its answer, and that may not be sent to a further one. */
function isCutByServers(
  { id, isIdempotent, sentAtMs, endedAtMs }: ClientRecord,
  { cutAnswers, runs, restarts }: SoakHistory,
): boolean {
  const cuts = cutAnswers.filter(({ requestId }) => requestId === id).length;
  if (cuts === 0) return false;
  const ended = runs.filter(({ requestId, server }) =>
    requestId === id &&
    restarts.some((restart) =>
      restart.server === server && restart.atMs >= sentAtMs &&
      restart.atMs <= endedAtMs
    )
  ).length;
  return Math.max(cuts, ended) >= (isIdempotent ? MAX_ATTEMPTS : 1);
}

function isExpired({ sentAtMs, endedAtMs, deadlineMs }: ClientRecord): boolean {
  return endedAtMs - sentAtMs >= deadlineMs - DEADLINE_MARGIN_MS;
}

function findRateExcess(history: SoakHistory): Violation[] {
  return bindingRates(history.rates).flatMap((rate) =>
    findExcessOf(rate, history)
  );
}

function findExcessOf(
  { server, fromMs, toMs, perSecond }: BindingRate,
  { arrivals, clients, disruptions }: SoakHistory,
): Violation[] {
  const entryOf = new Map(clients.map(({ id, entry }) => [id, entry]));
  const isCalm = (entry: number | undefined, atMs: number) =>
    !disruptions.some((one) =>
      one.entry === entry && one.fromMs <= atMs &&
      one.toMs >= atMs - STABLE_MS
    );
  const counted = arrivals
    .filter((one) =>
      one.server === server && one.atMs >= fromMs && one.atMs < toMs &&
      isCalm(entryOf.get(one.requestId), one.atMs)
    );
  const times = counted.map(({ atMs }) => atMs);
  const allowed = ALLOWED_FACTOR * perSecond * WINDOW_MS / 1000 +
    ALLOWED_EXTRA;
  for (let from = 0, to = 0; to < times.length; to++) {
    while (times[to]! - times[from]! >= WINDOW_MS) from++;
    if (to - from + 1 <= allowed) continue;
    const senders = counted.slice(from, to + 1).map(({ requestId }) =>
      entryOf.get(requestId)
    );
    const detail = `server ${server} got ${senders.length} in 4 s at ` +
      `${perSecond}/s, allowed ${allowed}, from entries ${senders.join(", ")}`;
    return [{ promise: "server_rate", atMs: times[to]!, detail }];
  }
  return [];
}

/** A span in which one rate binds. */
interface BindingRate {
  server: number;
  fromMs: number;
  toMs: number;
  perSecond: number;
}

/** A changed rate binds some time after the change; until then, the higher one applies. */
function bindingRates(rates: NamedRate[]): BindingRate[] {
  return rates.flatMap(({ server, fromMs, perSecond }, i) => {
    if (perSecond === undefined) return [];
    const next = rates.slice(i + 1).find((other) => other.server === server);
    const toMs = next?.fromMs ?? Infinity;
    const bindsFromMs = fromMs + STABLE_MS;
    return toMs > bindsFromMs
      ? [{ server, fromMs: bindsFromMs, toMs, perSecond }]
      : [];
  });
}

function countRuns(runs: ServerRecord[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { requestId } of runs) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return counts;
}
