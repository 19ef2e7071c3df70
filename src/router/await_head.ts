/**
 * Waits for the head of a server's answer: notices a server that has gone silent, goes elsewhere in
 * time where that is allowed, and takes a request back before it begins on weights that may begin
 * no answer any more.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { isIdempotent } from "./answer_rules.ts";
import type { Send } from "./attempt.ts";
import type { AnswerStep } from "./channel.ts";
import { RequestKind } from "./model.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** A server that says nothing to anyone for this long, or longer than expected, is avoided. */
const SUSPECT_MIN_MS = 400;
const SUSPECT_CALL_MS = 700;
const SUSPECT_FACTOR = 4;
/** An idempotent call gets this share of its time at one server while another may be tried. */
const CALL_SHARE = 0.4;
/** A resumable stream whose first event is this late, and later than expected, goes elsewhere. */
const FIRST_EVENT_MIN_MS = 1500;
const FIRST_EVENT_FACTOR = 4;
/** Pause between looks at what may change while a request waits. */
const LOOK_MS = 250;

/** What came of waiting for an answer. */
export type Awaited =
  | { kind: "step"; step: AnswerStep }
  /** Nothing came within the time at this server. */
  | { kind: "late" }
  /** Weights that it waits for may begin no answer any more. */
  | { kind: "weights_retired" };

/** What a {@link HeadWaiter} works with. */
export interface HeadWaiterOptions {
  clock: Clock;
  log: Logger;
  wanted: WantedVersions;
  /** Whether another server can take a request; a send is then set aside for it. */
  mayLeave(send: Send): boolean;
  /** A server has gone silent; other entries are told. */
  onSilent(serverId: string): void;
}

/** Waits for answers to begin. */
export class HeadWaiter {
  readonly #options: HeadWaiterOptions;

  private constructor(options: HeadWaiterOptions) {
    this.#options = options;
  }

  /**
   * @param options Ages of weights, and whom to tell of silent servers.
   * @returns A waiter.
   */
  static create(options: HeadWaiterOptions): HeadWaiter {
    return new HeadWaiter(options);
  }

  /**
   * @param send A request that was sent.
   * @returns The first step of the answer, or why it is waited for no longer.
   */
  async wait(send: Send): Promise<Awaited> {
    const { clock, mayLeave } = this.#options;
    const { answerByMs } = send.request;
    const suspectAtMs = suspectTimeOf(send);
    const headUntilMs = headTimeOf(send);
    let isSuspected = false;
    while (true) {
      const startMs = clock.nowMs();
      const beginUntilMs = this.#beginTimeOf(send, startMs);
      const wakeAtMs = Math.min(
        answerByMs,
        startMs < headUntilMs ? headUntilMs : Infinity,
        beginUntilMs,
        isSuspected ? Infinity : suspectAtMs,
        startMs + LOOK_MS,
      );
      const step = await send.exchange.next(wakeAtMs - startMs);
      if (step) return { kind: "step", step };
      const nowMs = clock.nowMs();
      if (send.sink.gone || nowMs >= answerByMs) return { kind: "late" };
      // At the end of another server's queue it would wait anew.
      const isQueued = send.choice.server.order.isQueued(send);
      if (nowMs >= headUntilMs && !isQueued && mayLeave(send)) {
        return { kind: "late" };
      }
      if (nowMs >= beginUntilMs) return { kind: "weights_retired" };
      if (isSuspected || nowMs < suspectAtMs) continue;
      this.#suspect(send);
      isSuspected = true;
    }
  }

  /** When the server's weights, if they were replaced, may begin no answer any more. */
  #beginTimeOf({ request, choice }: Send, nowMs: number): number {
    const { wanted } = this.#options;
    const { prompt } = request.facts;
    if (!prompt || choice.weightsVersion === undefined) return Infinity;
    const ageMs = wanted.replacedForMs(prompt.model, choice.weightsVersion);
    return ageMs > 0 ? nowMs + wanted.limits.beginUntilMs - ageMs : Infinity;
  }

  #suspect({ choice, sentAtMs, request }: Send): void {
    const { server } = choice;
    if (server.heardAtMs >= sentAtMs) return;
    const { clock, log } = this.#options;
    server.health.unreachable(clock.nowMs());
    this.#options.onSilent(server.id);
    log.warn({
      event: "server_silent",
      server: server.id,
      id: request.facts.requestId,
      expectedMs: Math.round(choice.expectedMs),
    });
  }
}

function suspectTimeOf({ choice, sentAtMs }: Send): number {
  const minMs = choice.chain ? SUSPECT_MIN_MS : SUSPECT_CALL_MS;
  return sentAtMs + Math.max(minMs, SUSPECT_FACTOR * choice.expectedMs);
}

/** When the request would go elsewhere for want of a first byte. */
function headTimeOf({ request, choice, sentAtMs }: Send): number {
  const { route, answerByMs } = request;
  if (!isIdempotent(route)) return answerByMs;
  const leftMs = answerByMs - sentAtMs;
  const waitMs = route.kind === RequestKind.stream
    ? Math.max(FIRST_EVENT_MIN_MS, FIRST_EVENT_FACTOR * choice.expectedMs)
    : leftMs * CALL_SHARE;
  return Math.min(answerByMs, sentAtMs + waitMs);
}
