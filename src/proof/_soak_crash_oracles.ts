/** Checks in a soak's history that a part which crashes servers is stopped, and nothing else is. */
import {
  type ClientRecord,
  type SoakHistory,
  STABLE_MS,
  STORE,
  type Violation,
} from "./_soak_history.ts";

/** Crash from which on the part should be known soon. */
const COUNTED_CRASH = 5;
/** Requests with the part that may reach servers after that. */
const ALLOWED_LATE = 3;
/** Fewer requests, before or during the crashes, are not judged. */
const MIN_REQUESTS = 20;
/** Engines that must name no rate during a request for it to count. */
const MIN_ENGINES = 2;

/**
 * @param history A soak's history.
 * @returns All broken promises about a part that crashes servers.
 */
export function findCrashViolations(history: SoakHistory): Violation[] {
  return [...findLateArrivals(history), ...findLostRequests(history)];
}

function findLateArrivals(history: SoakHistory): Violation[] {
  const { arrivals, crashes, crashingRequests } = history;
  const fifth = crashes[COUNTED_CRASH - 1];
  if (!fifth) return [];
  const entryOf = new Map(crashingRequests.map(({ id, entry }) => [id, entry]));
  const late = arrivals.filter(({ requestId, atMs }) => {
    const entry = entryOf.get(requestId);
    return entry !== undefined && atMs > fifth.atMs + STABLE_MS &&
      isCalm(history, { entry, fromMs: atMs, toMs: atMs });
  });
  if (late.length <= ALLOWED_LATE) return [];
  return [{
    promise: "crashing_part_is_stopped",
    atMs: late[ALLOWED_LATE]!.atMs,
    detail: `${late.length} requests reached servers late, from entries ${
      late.map(({ requestId }) => entryOf.get(requestId)).join(", ")
    }; ${crashes.length} crashes`,
  }];
}

/**
 * Streams without the part must begin at the first attempt half as often as before, while requests
 * with the part still come.
 */
function findLostRequests(history: SoakHistory): Violation[] {
  const { clients, crashes, crashingRequests, streams } = history;
  const known = crashes[COUNTED_CRASH - 1] ?? crashes.at(-1);
  const first = crashingRequests[0];
  const last = crashingRequests.at(-1);
  if (!known || !first || !last) return [];
  const streamIds = new Set(streams.map(({ id }) => id));
  const counted = clients.filter((client) =>
    streamIds.has(client.id) && isCountable(history, client)
  );
  const before = counted.filter(({ endedAtMs }) => endedAtMs < first.sentAtMs);
  const during = counted.filter(({ sentAtMs, endedAtMs }) =>
    sentAtMs >= known.atMs + 2 * STABLE_MS && endedAtMs <= last.sentAtMs
  );
  if (before.length < MIN_REQUESTS || during.length < MIN_REQUESTS) return [];
  const [shareBefore, share] = [begunShare(before), begunShare(during)];
  if (share >= shareBefore / 2) return [];
  return [{
    promise: "sound_requests_go_on",
    atMs: during[0]!.sentAtMs,
    detail: `${share.toFixed(2)} of ${during.length} began, before ${
      shareBefore.toFixed(2)
    } of ${before.length}`,
  }];
}

function begunShare(clients: readonly ClientRecord[]): number {
  const begun = clients.filter(({ end }) =>
    end.kind === "left" || (end.kind === "answered" && end.status === 200)
  );
  return begun.length / clients.length;
}

function isCountable(
  history: SoakHistory,
  { entry, sentAtMs, endedAtMs }: ClientRecord,
): boolean {
  const isLimited = (server: number) =>
    history.rates.some((rate, i) =>
      rate.server === server && rate.perSecond !== undefined &&
      rate.fromMs <= endedAtMs &&
      !history.rates.slice(i + 1).some((next) =>
        next.server === server && next.fromMs <= sentAtMs
      )
    );
  const isOut = (server: number) =>
    history.outages.some((outage) =>
      outage.server === server && outage.fromMs <= endedAtMs &&
      outage.toMs >= sentAtMs
    );
  // Engines that the part has crashed count, too: it may not keep them down.
  const engines = new Set(history.versions.map(({ server }) => server));
  const unlimited = [...engines].filter((server) =>
    !isLimited(server) && !isOut(server)
  );
  return unlimited.length >= MIN_ENGINES &&
    isCalm(history, { entry, fromMs: sentAtMs, toMs: endedAtMs });
}

/** Whether neither the entry nor the store has been disrupted for a while. */
function isCalm(
  { disruptions }: SoakHistory,
  { entry, fromMs, toMs }: { entry: number; fromMs: number; toMs: number },
): boolean {
  return !disruptions.some((one) =>
    (one.entry === entry || one.entry === STORE) && one.fromMs <= toMs &&
    one.toMs >= fromMs - STABLE_MS
  );
}
