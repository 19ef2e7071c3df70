/** Answers that an entry gives itself, without a backend server. */
import { retryHeaders } from "../platform/mod.ts";
import type { Arrival, Routed } from "./arrival.ts";
import type { RequestFacts } from "./model.ts";
import type { AnswerSink, LocalAnswer } from "./request.ts";
import { retryAfterMs } from "./retry_after.ts";

/** If the configuration is older than this, an unknown route or key may have been added since. */
const MAX_KNOWLEDGE_AGE_MS = 4000;

/** Why a request is refused, which the client may send again. */
export type RefusalReason = Extract<
  LocalAnswer,
  "not_ready" | "stopping" | "unsure" | "overloaded" | "expired" | "no_memory"
>;

/** Dependencies of {@link LocalAnswers}. */
export interface LocalAnswersOptions {
  random: () => number;
  /** Time since the configuration was last confirmed to be the newest. */
  knowledgeAgeMs(): number;
  /** Called after each answer. */
  onLocalAnswer(facts: RequestFacts, answer: LocalAnswer): void;
}

/** Sends answers without a body; their requests were not run. */
export class LocalAnswers {
  readonly #options: LocalAnswersOptions;

  private constructor(options: LocalAnswersOptions) {
    this.#options = options;
  }

  /**
   * @param options Dependencies.
   * @returns The sender.
   */
  static create(options: LocalAnswersOptions): LocalAnswers {
    return new LocalAnswers(options);
  }

  /** Refuses a request with 503 and the time of a retry. */
  refuse(facts: RequestFacts, sink: AnswerSink, why: RefusalReason): void {
    const leftMs = facts.deadlineMs ?? Infinity;
    const pauseMs = retryAfterMs(leftMs, this.#options.random);
    const headers = retryHeaders(pauseMs);
    sink.send({ status: 503, headers }, Buffer.alloc(0));
    this.#options.onLocalAnswer(facts, why);
  }

  /** Answers a request whose body was dropped because of its head. */
  reject(
    facts: RequestFacts,
    sink: AnswerSink,
    { arrival, routed }: {
      arrival: Exclude<Arrival, { kind: "expected" | "not_ready" }>;
      /** Its route by the newest configuration. */
      routed: Routed;
    },
  ): void {
    switch (arrival.kind) {
      case "headers_too_large":
        return this.send(facts, sink, { status: 431, why: arrival.kind });
      case "unknown_route":
      case "unknown_key":
        return routed.kind === "routed"
          ? this.refuse(facts, sink, "unsure")
          : this.rejectUnknown(facts, sink, routed.why);
    }
  }

  /** Answers 404 or 401, or refuses with 503 while a newer configuration may contain the route or key. */
  rejectUnknown(
    facts: RequestFacts,
    sink: AnswerSink,
    why: "unknown_route" | "unknown_key",
  ): void {
    if (this.#options.knowledgeAgeMs() > MAX_KNOWLEDGE_AGE_MS) {
      return this.refuse(facts, sink, "unsure");
    }
    const status = why === "unknown_route" ? 404 : 401;
    this.send(facts, sink, { status, why });
  }

  /** Sends a status that a retry would get as well. */
  send(
    facts: RequestFacts,
    sink: AnswerSink,
    { status, why }: { status: number; why: LocalAnswer },
  ): void {
    sink.send({ status, headers: [] }, Buffer.alloc(0));
    this.#options.onLocalAnswer(facts, why);
  }
}
