/**
 * Priority queue with aging. The highest priority is dispatched first. A lower priority whose
 * oldest request has waited longer than its aging threshold gets one of every
 * {@link AGED_INTERVAL} dispatches, so it neither starves nor crowds out urgent work. Within a
 * priority, the team with the fewest requests on the server goes first, then the request with the
 * earliest deadline, then the oldest one.
 */
import { Priority } from "../wire/gen/cicadahitch.ts";

/** The properties of a request that decide its position in the queue. */
export interface WaitingRequest {
  team: string;
  priority: Priority;
  enqueuedMs: number;
  /** Infinity if there is none. */
  deadlineAtMs: number;
}

/** Priorities, highest first. */
export const PRIORITY_ORDER = [
  Priority.URGENT,
  Priority.NORMAL,
  Priority.BATCH,
] as const;

/** One of {@link PRIORITY_ORDER}. */
export type RankedPriority = (typeof PRIORITY_ORDER)[number];

/** Time in the queue after which a request counts as aged, by priority. */
const AGING_THRESHOLD_MS: Record<RankedPriority, number> = {
  [Priority.URGENT]: 0,
  [Priority.NORMAL]: 2000,
  [Priority.BATCH]: 8000,
};
/** One dispatch in this many goes to an aged request, if there is one. */
const AGED_INTERVAL = 6;

/**
 * @param priority Priority as received, possibly unspecified.
 * @returns The effective priority; unspecified counts as normal.
 */
export function effectivePriority(priority: Priority): RankedPriority {
  switch (priority) {
    case Priority.URGENT:
    case Priority.BATCH:
      return priority;
    case Priority.NORMAL:
    case Priority.UNSPECIFIED:
      return Priority.NORMAL;
  }
}

/** Requests that wait to be sent to the engine. */
export class WaitQueue<T extends WaitingRequest> {
  readonly #lists: Record<RankedPriority, T[]> = {
    [Priority.URGENT]: [],
    [Priority.NORMAL]: [],
    [Priority.BATCH]: [],
  };
  #dispatchesSinceAged = 0;

  private constructor() {}

  /** @returns An empty queue. */
  static create<T extends WaitingRequest>(): WaitQueue<T> {
    return new WaitQueue();
  }

  get size(): number {
    let size = 0;
    for (const priority of PRIORITY_ORDER) size += this.#lists[priority].length;
    return size;
  }

  /** Iterates over all waiting requests, by priority, then by deadline. */
  *[Symbol.iterator](): IterableIterator<T> {
    for (const priority of PRIORITY_ORDER) yield* this.#lists[priority];
  }

  /** @param request A request to add to the queue. */
  push(request: T): void {
    const list = this.#lists[effectivePriority(request.priority)];
    let at = list.length;
    while (at > 0 && list[at - 1]!.deadlineAtMs > request.deadlineAtMs) at--;
    list.splice(at, 0, request);
  }

  /**
   * @param request A request to remove from the queue.
   * @returns False if the request was not in the queue.
   */
  remove(request: T): boolean {
    const list = this.#lists[effectivePriority(request.priority)];
    const index = list.indexOf(request);
    if (index < 0) return false;
    list.splice(index, 1);
    return true;
  }

  /**
   * Removes and returns the next request to dispatch.
   *
   * @param nowMs Current time.
   * @param inFlightOf Number of a team's requests on the server.
   * @returns The request, or undefined if the queue is empty.
   */
  shift(nowMs: number, inFlightOf: (team: string) => number): T | undefined {
    const highestPriority = PRIORITY_ORDER.find((each) =>
      this.#lists[each].length > 0
    );
    if (highestPriority === undefined) return undefined;
    const agedPriority = this.#findMostAgedBelow(highestPriority, nowMs);
    const isAgedTurn = agedPriority !== undefined &&
      this.#dispatchesSinceAged + 1 >= AGED_INTERVAL;
    this.#dispatchesSinceAged = isAgedTurn ? 0 : this.#dispatchesSinceAged + 1;
    const priority = isAgedTurn ? agedPriority : highestPriority;
    const next = selectFromLeastLoadedTeam(this.#lists[priority], inFlightOf);
    this.remove(next);
    return next;
  }

  /** Finds the lower priority whose oldest request exceeds its aging threshold the most. */
  #findMostAgedBelow(
    highest: RankedPriority,
    nowMs: number,
  ): RankedPriority | undefined {
    let mostAged: RankedPriority | undefined;
    let mostOverdueMs = 0;
    for (const priority of PRIORITY_ORDER) {
      if (priority <= highest) continue;
      const overdueMs = nowMs - oldestMs(this.#lists[priority]) -
        AGING_THRESHOLD_MS[priority];
      if (overdueMs <= mostOverdueMs) continue;
      mostAged = priority;
      mostOverdueMs = overdueMs;
    }
    return mostAged;
  }
}

/** When the oldest request was added; Infinity if there is none. */
function oldestMs(list: readonly WaitingRequest[]): number {
  return list.reduce(
    (first, { enqueuedMs }) => Math.min(first, enqueuedMs),
    Infinity,
  );
}

function selectFromLeastLoadedTeam<T extends WaitingRequest>(
  list: T[],
  inFlightOf: (team: string) => number,
): T {
  let selected = list[0]!;
  let fewestInFlight = inFlightOf(selected.team);
  const seenTeams = new Set([selected.team]);
  for (const waiter of list) {
    if (seenTeams.has(waiter.team)) continue;
    seenTeams.add(waiter.team);
    const inFlight = inFlightOf(waiter.team);
    if (inFlight >= fewestInFlight) continue;
    selected = waiter;
    fewestInFlight = inFlight;
  }
  return selected;
}
