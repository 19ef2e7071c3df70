/** Decides whether a request may be sent again, and charges resends to the budget. */
import type { Clock } from "../base/mod.ts";
import { isIdempotent } from "./answer_rules.ts";
import type { Payment, Progress } from "./attempt.ts";
import type { Fleet } from "./fleet.ts";
import { ResendRefusal, type RoutedRequest } from "./request.ts";
import { ResendBudget, type ResendLimits } from "./resend_budget.ts";

/**
 * Maximum sends of a request, including sends that did not run. Not counted are hedged sends beside a
 * silent run; a started stream without any open run may exceed the maximum, as it would be cut
 * otherwise. Both are bounded by their backoff and by the resend budget.
 */
const MAX_SENDS = 4;
/** Sends that moving a run may need: one to the server with its copy, one elsewhere if that refuses. */
const MOVE_SENDS = 2;
/** Minimum remaining time of a request for another send. */
export const RESEND_MIN_LEFT_MS = 40;

/** Dependencies of {@link Resends}. */
export interface ResendsOptions {
  clock: Clock;
  /** Known servers; one that is no longer known has ended. */
  fleet: Pick<Fleet, "has">;
  resendLimits: ResendLimits;
  /** Number of entries that may be alive, including this one; they share the resend budget. */
  entryCount(): number;
  /** Whether an available server exists to which the request was not sent yet. */
  hasUntriedServer(request: RoutedRequest, progress: Progress): boolean;
  /** Whether all servers have another software version than the one that began the stream. */
  isVersionGone(request: RoutedRequest, progress: Progress): boolean;
}

/** Open runs of a request: runs that may still answer it. */
export interface OpenState {
  count: number;
  /** Whether the server of at least one open run is up. */
  isAnyUp: boolean;
}

/** Resend policy and budget of all requests. */
export class Resends {
  readonly #options: ResendsOptions;
  readonly #budget: ResendBudget;

  private constructor(options: ResendsOptions) {
    this.#options = options;
    this.#budget = ResendBudget.create({
      clock: options.clock,
      limits: options.resendLimits,
      entryCount: options.entryCount,
    });
  }

  /**
   * @param options Limits and known servers.
   * @returns A policy with an unused budget.
   */
  static create(options: ResendsOptions): Resends {
    return new Resends(options);
  }

  /** @param service Name of a service that has received a request; requests increase its budget. */
  recordRequest(service: string): void {
    this.#budget.recordRequest(service);
  }

  /**
   * Refunds the reserved sends that a request has not used.
   *
   * @param request A request that has ended.
   * @param progress Its state.
   */
  refund(
    { service }: RoutedRequest,
    { reservedSends, reservedAtMs }: Progress,
  ): void {
    this.#budget.refund(service, reservedSends, { atMs: reservedAtMs });
  }

  /**
   * Refunds a send that never reached its server, as the platform's limit doesn't count it.
   *
   * @param request The request.
   * @param payment How the send was charged.
   */
  refundUnsent({ service }: RoutedRequest, payment: Payment): void {
    if (payment.kind === "paid") this.#budget.refund(service, 1, payment);
  }

  /**
   * @param service Name of a service.
   * @returns Resends that this entry's budget allows now.
   */
  left(service: string): number {
    return this.#budget.left(service);
  }

  /**
   * @param request A request that a server answered with a failure.
   * @param progress Its state.
   * @returns Whether the request may be sent to another server instead of relaying the failure.
   */
  mayResendElsewhere(request: RoutedRequest, progress: Progress): boolean {
    const open = { count: 1, isAnyUp: true };
    return this.refusalOf(request, progress, open) === undefined &&
      this.#options.hasUntriedServer(request, progress) &&
      this.#budget.canSpend(request.service);
  }

  /**
   * Reserves the sends that moving a run may need. A move stops the run, so it is started only if the
   * request can be sent again whatever the result of the move.
   *
   * @param request A request whose run may be moved.
   * @param progress Its state.
   * @returns Whether the sends are reserved.
   */
  reserveMove(
    request: RoutedRequest,
    progress: Progress,
  ): boolean {
    const { route, service } = request;
    if (progress.runs + 1 >= route.maxAttempts) return false;
    // The sends of an earlier move are still reserved.
    if (progress.reservedSends >= MOVE_SENDS) return true;
    this.refund(request, progress);
    progress.reservedSends = 0;
    if (!this.#budget.spend(service, MOVE_SENDS)) return false;
    progress.reservedSends = MOVE_SENDS;
    progress.reservedAtMs = this.#options.clock.nowMs();
    return true;
  }

  /**
   * Uses one reserved send.
   *
   * @param progress State of a request with reserved sends.
   * @returns How the send was charged.
   */
  chargeReservedSend(progress: Progress): Payment {
    progress.reservedSends--;
    return { kind: "paid", atMs: progress.reservedAtMs };
  }

  /**
   * @param request A request.
   * @param progress Its state.
   * @param open Its open runs.
   * @returns Why the request may not be sent again; undefined if it may.
   */
  refusalOf(
    request: RoutedRequest,
    progress: Progress,
    open: OpenState,
  ): ResendRefusal | undefined {
    if (this.#options.isVersionGone(request, progress)) {
      return ResendRefusal.versionGone;
    }
    const { route, answerByMs } = request;
    const { runs, sends, hedgedSends, streamStarted, ranAt } = progress;
    if (sends === 0) return undefined;
    const isCut = streamStarted && !open.isAnyUp;
    // Most servers that refuse have not run the request, and a started stream would be cut otherwise.
    const unprovenRuns = isCut ? 0 : progress.unprovenRefusals;
    const runCount = runs + open.count;
    if (runCount > 0 && (!isIdempotent(route) || progress.hasEventsBehindId)) {
      return ResendRefusal.notRepeatable;
    }
    // Runs at servers that have ended don't count towards the route's maximum of attempts.
    const { fleet, clock } = this.#options;
    const nowMs = clock.nowMs();
    const endedCount =
      [...ranAt].filter((server) =>
        server.health.hasEnded || !fleet.has(server)
      ).length;
    const undecidedCount =
      [...ranAt].filter((server) =>
        fleet.has(server) && server.health.isEndUndecided(nowMs)
      ).length;
    const countedRuns = runCount + unprovenRuns - endedCount;
    if (countedRuns >= route.maxAttempts) {
      return countedRuns - undecidedCount < route.maxAttempts
        ? ResendRefusal.endUndecided
        : ResendRefusal.attemptsUsed;
    }
    const leftMs = answerByMs - nowMs;
    if (leftMs < RESEND_MIN_LEFT_MS) return ResendRefusal.noTime;
    const isUsed = sends - hedgedSends >= MAX_SENDS;
    return isUsed && !isCut ? ResendRefusal.sendsUsed : undefined;
  }

  /**
   * Charges a send to the reserved sends or to the budget. A send is free while none has reached a
   * server.
   *
   * @param request A request that is about to be sent.
   * @param progress Its state.
   * @param open Its open runs.
   * @returns How the send was charged, or a refusal if the budget is used up.
   */
  chargeSend(
    { service }: RoutedRequest,
    progress: Progress,
    open: OpenState,
  ): Payment | { kind: "refused" } {
    if (progress.possibleDeliveries === 0) return { kind: "free" };
    if (progress.reservedSends > 0) return this.chargeReservedSend(progress);
    const isSpent = progress.streamStarted && !open.isAnyUp
      ? this.#budget.spendForStartedStream(service)
      : this.#budget.spend(service);
    const atMs = this.#options.clock.nowMs();
    return isSpent ? { kind: "paid", atMs } : { kind: "refused" };
  }
}

/**
 * @param refusal Why a request is not sent again.
 * @returns Whether the refusal is temporary, so that a later attempt may be allowed.
 */
export function isTemporary(refusal: ResendRefusal): boolean {
  switch (refusal) {
    case ResendRefusal.noBudget:
    case ResendRefusal.noServer:
    case ResendRefusal.endUndecided:
      return true;
    case ResendRefusal.notRepeatable:
    case ResendRefusal.attemptsUsed:
    case ResendRefusal.sendsUsed:
    case ResendRefusal.noTime:
    case ResendRefusal.quarantined:
    case ResendRefusal.versionGone:
    case ResendRefusal.versionUnknown:
      return false;
  }
}
