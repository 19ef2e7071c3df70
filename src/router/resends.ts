/** Whether a request that was sent to a server may be sent again, and to whom the allowance goes. */
import type { Clock } from "../base/mod.ts";
import { isIdempotent } from "./answer_rules.ts";
import {
  type Progress,
  ResendRefusal,
  type Send,
  type SendEnd,
} from "./attempt.ts";
import type { RoutedRequest } from "./request.ts";
import { ResendBudget, type ResendLimits } from "./resend_budget.ts";

/** Sends of one request, those included that were not run. */
const MAX_SENDS = 4;
/** Sends that a run's move may need: to where its copy is, and elsewhere if that refuses. */
const MOVE_SENDS = 2;
/** Less time than this is not worth another send. */
export const RESEND_MIN_LEFT_MS = 40;

/** What {@link Resends} work with. */
export interface ResendsOptions {
  clock: Clock;
  resendLimits: ResendLimits;
  /** Entries that may live, this one included; they share the budget of resends. */
  entryCount(): number;
  /** Whether a server takes the request that it was not sent to yet. */
  hasOther(request: RoutedRequest, progress: Progress): boolean;
  /** Whether a server that is up and takes requests may go on with one that leaves its server. */
  hasNext(send: Send): boolean;
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
  refund({ service }: RoutedRequest, { reservedSends }: Progress): void {
    this.#budget.refund(service, reservedSends);
  }

  /**
   * @param request A request whose server failed it.
   * @param progress What happened to it.
   * @returns Whether another server may still be asked in place of passing the failure on.
   */
  mayReplace(request: RoutedRequest, progress: Progress): boolean {
    return this.#refusalOfNext(request, progress) === undefined &&
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
    { route, service }: RoutedRequest,
    progress: Progress,
  ): boolean {
    if (progress.sends + MOVE_SENDS > MAX_SENDS) return false;
    if (progress.runs + 1 >= route.maxAttempts) return false;
    if (!this.#budget.spend(service, MOVE_SENDS)) return false;
    progress.reservedSends += MOVE_SENDS;
    return true;
  }

  /**
   * Sets one send aside for a request that would leave its server, which says nothing: it waits on
   * where nobody else can go on with it.
   *
   * @param send A send whose answer, or the rest of it, has not come.
   * @returns Whether the request may leave.
   */
  reserveNext(send: Send): boolean {
    const { request, progress } = send;
    if (this.#refusalOfNext(request, progress)) return false;
    if (!this.#options.hasNext(send)) return false;
    if (progress.reservedSends > 0) return true;
    if (!this.#spend(request.service, progress)) return false;
    progress.reservedSends++;
    return true;
  }

  /**
   * Takes one more send from what is set aside or from the budget.
   *
   * @param request A request.
   * @param progress What happened to it, its last send included.
   * @param end How that send ended.
   * @returns Why it is not sent again; nothing if it is.
   */
  refusalAfter(
    request: RoutedRequest,
    progress: Progress,
    end: Exclude<SendEnd, { kind: "done" | "moved" }>,
  ): ResendRefusal | undefined {
    const { route, service } = request;
    const refusal = this.#refusalOfAny(request, progress);
    if (refusal) return refusal;
    if (end.kind === "unknown") {
      if (!isIdempotent(route)) return ResendRefusal.notRepeatable;
      if (progress.runs >= route.maxAttempts) return ResendRefusal.attemptsUsed;
    }
    if (progress.reservedSends > 0) {
      progress.reservedSends--;
      return undefined;
    }
    return this.#spend(service, progress) ? undefined : ResendRefusal.noBudget;
  }

  /** Why a request whose present send may be its last may not be sent once more. */
  #refusalOfNext(
    request: RoutedRequest,
    progress: Progress,
  ): ResendRefusal | undefined {
    const { route } = request;
    if (!isIdempotent(route)) return ResendRefusal.notRepeatable;
    if (progress.runs + 1 >= route.maxAttempts) {
      return ResendRefusal.attemptsUsed;
    }
    return this.#refusalOfAny(request, progress);
  }

  #refusalOfAny(
    { answerByMs }: RoutedRequest,
    { sends }: Progress,
  ): ResendRefusal | undefined {
    if (sends >= MAX_SENDS) return ResendRefusal.sendsUsed;
    const leftMs = answerByMs - this.#options.clock.nowMs();
    return leftMs < RESEND_MIN_LEFT_MS ? ResendRefusal.noTime : undefined;
  }

  #spend(service: string, { begun }: Progress): boolean {
    return begun
      ? this.#budget.spendForBegun(service)
      : this.#budget.spend(service);
  }
}
