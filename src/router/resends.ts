/** Whether a request that was sent to a server may be sent again, and to whom the allowance goes. */
import type { Clock } from "../base/mod.ts";
import { isIdempotent } from "./answer_rules.ts";
import type { Payment, Progress } from "./attempt.ts";
import type { Fleet } from "./fleet.ts";
import { ResendRefusal, type RoutedRequest } from "./request.ts";
import { ResendBudget, type ResendLimits } from "./resend_budget.ts";

/**
 * Sends of a request, those included that were not run. Those beside a silent run are bounded by their
 * pauses and the budget, and so are those of a stream that would be cut.
 */
const MAX_SENDS = 4;
/** Sends that a run's move may need: to where its copy is, and elsewhere if that refuses. */
const MOVE_SENDS = 2;
/** Less time than this is not worth another send. */
export const RESEND_MIN_LEFT_MS = 40;

/** What {@link Resends} work with. */
export interface ResendsOptions {
  clock: Clock;
  /** A server that is not there any more has ended. */
  fleet: Pick<Fleet, "has">;
  resendLimits: ResendLimits;
  /** Entries that may live, this one included; they share the budget of resends. */
  entryCount(): number;
  /** Whether a server takes the request that it was not sent to yet. */
  hasOther(request: RoutedRequest, progress: Progress): boolean;
}

/** Runs of a request that may still answer it. */
export interface OpenState {
  count: number;
  /** Whether one is at a server that is up. */
  isAnyUp: boolean;
}

/** Decides about further sends of requests, and keeps their budget. */
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
   * @param options Limits, and what servers there are.
   * @returns Decisions with a whole budget.
   */
  static create(options: ResendsOptions): Resends {
    return new Resends(options);
  }

  /** @param service A request for it has come. */
  earn(service: string): void {
    this.#budget.earn(service);
  }

  /**
   * Gives back what was set aside for a request and not used.
   *
   * @param request A request that is over.
   * @param progress What happened to it.
   */
  refund(
    { service }: RoutedRequest,
    { reservedSends, reservedAtMs }: Progress,
  ): void {
    this.#budget.refund(service, reservedSends, { atMs: reservedAtMs });
  }

  /**
   * A send never reached its server, so it is none of the resends that are bounded.
   *
   * @param request Its request.
   * @param payment How it was paid for.
   */
  refundUnsent({ service }: RoutedRequest, payment: Payment): void {
    if (payment.kind === "paid") this.#budget.refund(service, 1, payment);
  }

  /**
   * @param service Name of a service.
   * @returns Resends that this entry may make at once.
   */
  left(service: string): number {
    return this.#budget.left(service);
  }

  /**
   * @param request A request whose server failed it.
   * @param progress What happened to it.
   * @returns Whether another server may still be asked in place of passing the failure on.
   */
  mayReplace(request: RoutedRequest, progress: Progress): boolean {
    const open = { count: 1, isAnyUp: true };
    return this.refusalOf(request, progress, open) === undefined &&
      this.#options.hasOther(request, progress) &&
      this.#budget.has(request.service);
  }

  /**
   * Sets the sends aside that a run's move may need: it stops, so it is moved only if whatever comes
   * of it can be followed up.
   *
   * @param request A request whose run may be moved.
   * @param progress What happened to it.
   * @returns Whether they are set aside.
   */
  reserveMove(
    request: RoutedRequest,
    progress: Progress,
  ): boolean {
    const { route, service } = request;
    if (progress.runs + 1 >= route.maxAttempts) return false;
    // Those of an earlier move are set aside still.
    if (progress.reservedSends >= MOVE_SENDS) return true;
    this.refund(request, progress);
    progress.reservedSends = 0;
    if (!this.#budget.spend(service, MOVE_SENDS)) return false;
    progress.reservedSends = MOVE_SENDS;
    progress.reservedAtMs = this.#options.clock.nowMs();
    return true;
  }

  /**
   * @param progress Of a request for which sends are set aside.
   * @returns Payment of one of them.
   */
  payReserved(progress: Progress): Payment {
    progress.reservedSends--;
    return { kind: "paid", atMs: progress.reservedAtMs };
  }

  /**
   * @param request A request.
   * @param progress What happened to it.
   * @param open Its open runs.
   * @returns Why it may not be sent once more; nothing if it may.
   */
  refusalOf(
    { route, answerByMs }: RoutedRequest,
    { runs, sends, sendsBeside, begun, ranAt }: Progress,
    open: OpenState,
  ): ResendRefusal | undefined {
    if (sends === 0) return undefined;
    const runCount = runs + open.count;
    if (runCount > 0 && !isIdempotent(route)) {
      return ResendRefusal.notRepeatable;
    }
    // Runs at servers that have ended are none of the attempts that a route bounds.
    const { fleet } = this.#options;
    const endedCount =
      [...ranAt].filter((server) =>
        server.health.hasEnded || !fleet.has(server)
      ).length;
    if (runCount - endedCount >= route.maxAttempts) {
      return ResendRefusal.attemptsUsed;
    }
    const leftMs = answerByMs - this.#options.clock.nowMs();
    if (leftMs < RESEND_MIN_LEFT_MS) return ResendRefusal.noTime;
    const isCut = begun && !open.isAnyUp;
    const isUsed = sends - sendsBeside >= MAX_SENDS;
    return isUsed && !isCut ? ResendRefusal.sendsUsed : undefined;
  }

  /**
   * Takes a send from what is set aside or from the budget. The first that reaches a server is free.
   *
   * @param request A request that is to be sent.
   * @param progress What happened to it.
   * @param open Its open runs.
   * @returns How it is paid for.
   */
  pay(
    { service }: RoutedRequest,
    progress: Progress,
    open: OpenState,
  ): Payment | { kind: "refused" } {
    if (progress.arrivals === 0) return { kind: "free" };
    if (progress.reservedSends > 0) return this.payReserved(progress);
    const isSpent = progress.begun && !open.isAnyUp
      ? this.#budget.spendForBegun(service)
      : this.#budget.spend(service);
    const atMs = this.#options.clock.nowMs();
    return isSpent ? { kind: "paid", atMs } : { kind: "refused" };
  }
}

/**
 * @param refusal Why a request is not sent again.
 * @returns Whether it may be some moments later.
 */
export function mayPass(refusal: ResendRefusal): boolean {
  switch (refusal) {
    case ResendRefusal.noBudget:
    case ResendRefusal.noServer:
      return true;
    case ResendRefusal.notRepeatable:
    case ResendRefusal.attemptsUsed:
    case ResendRefusal.sendsUsed:
    case ResendRefusal.noTime:
    case ResendRefusal.quarantined:
      return false;
  }
}
