/**
 * The request rate that a backend server says it takes from all entries together. The server names it
 * in its answers for as long as it applies. Answers may arrive in another order than the server sent
 * them, and entries tell each other what they were told: the newest statement applies.
 */
import { type AnswerRate, AnswerRateKind } from "./model.ts";

/** What a server said about its rate, and when an entry was told. */
export interface RateStatement {
  /** Requests per second that the server takes; undefined: any number. */
  perSecond: number | undefined;
  /** When an entry read the answer, by the clock of this process. */
  atMs: number;
}

/** An answer of a server, as far as it says something about the server's rate. */
export interface RateAnswer {
  rate: AnswerRate;
  /** Whether the server refused the request. */
  isRefusal: boolean;
  /** When the answered request was sent. */
  sentAtMs: number;
}

/** The newest statement of one server start. */
export class StatedRate {
  #statement: RateStatement | undefined;

  private constructor() {}

  /** @returns A state in which the server has never named a rate. */
  static create(): StatedRate {
    return new StatedRate();
  }

  /** Requests per second that the server takes; undefined: any number. */
  get perSecond(): number | undefined {
    return this.#statement?.perSecond;
  }

  /** The newest statement; undefined if the server has never named a rate. */
  get statement(): RateStatement | undefined {
    return this.#statement;
  }

  /**
   * Records an answer. A higher rate, or none, counts only in the answer to a request that was sent
   * after the known rate was named: an earlier request may have been answered before that, too.
   *
   * @param answer What the answer says.
   * @param nowMs The current time.
   * @returns Whether the rate changed.
   */
  record({ rate, isRefusal, sentAtMs }: RateAnswer, nowMs: number): boolean {
    if (rate.kind === AnswerRateKind.malformed) return false;
    const perSecond = rate.kind === AnswerRateKind.limited
      ? rate.perSecond
      : undefined;
    // A refusal may come from a part of the server that doesn't know the rate.
    if (perSecond === undefined && isRefusal) return false;
    const known = this.#statement;
    if (!known) {
      if (perSecond !== undefined) this.#statement = { perSecond, atMs: nowMs };
      return perSecond !== undefined;
    }
    const isRaised = (perSecond ?? Infinity) > (known.perSecond ?? Infinity);
    if (isRaised && sentAtMs < known.atMs) return false;
    this.#statement = { perSecond, atMs: nowMs };
    return perSecond !== known.perSecond;
  }

  /**
   * Adopts a statement that another entry reports, if it is newer. One that repeats the known rate is
   * ignored: its age grows by the delay of each datagram, so the time would advance without an answer.
   *
   * @param reported The statement.
   * @returns Whether the rate changed.
   */
  merge(reported: RateStatement): boolean {
    const known = this.#statement;
    if (reported.perSecond === known?.perSecond) return false;
    if (known && reported.atMs <= known.atMs) return false;
    this.#statement = reported;
    return true;
  }
}
