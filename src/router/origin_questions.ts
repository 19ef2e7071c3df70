/** Questions to other entries about the origin of a stream, over datagrams that may be lost. */
import { setImmediate } from "node:timers/promises";
import type { Clock } from "../base/mod.ts";
import type { EntryMembers } from "./entry_members.ts";
import type { OriginMessage, OriginReply } from "./origin_message.ts";

/** Entries that are asked: the holders, and those that are if the others' view differs by two. */
const ASKED = 5;
/**
 * Longest wait for replies; a round trip takes some ms, but entries that are behind need longer, and
 * so do those that wait for the store. A client whose stream is refused waits for all of it again.
 */
const REPLY_TIMEOUT_MS = 400;
/** Interval at which a question is repeated to the entries that have not replied. */
const REPEAT_INTERVAL_MS = 30;
/** Questions start at a random number, so that no reply to an earlier process counts. */
const MAX_FIRST_SEQUENCE = 2 ** 31;

/** Dependencies of {@link OriginQuestions}. */
export interface OriginQuestionsOptions {
  clock: Clock;
  /** Random number from 0 to 1. */
  random: () => number;
  members: EntryMembers;
  /** Sends a message to another entry; it may be lost. */
  send(address: string, message: OriginMessage): void;
}

/** Result of {@link OriginQuestions.ask}. */
export interface Replies {
  replies: OriginReply[];
  /** Number of entries that were asked and did not reply. */
  missing: number;
}

/** A question to other entries. */
interface Question {
  /** Entries that have not replied. */
  waiting: Set<string>;
  replies: OriginReply[];
  /** Ends the wait. */
  done: AbortController;
}

/** The questions of this entry that are open. */
export class OriginQuestions {
  readonly #options: OriginQuestionsOptions;
  readonly #open = new Map<number, Question>();
  #lastSequence: number;

  private constructor(options: OriginQuestionsOptions) {
    this.#options = options;
    this.#lastSequence = Math.floor(options.random() * MAX_FIRST_SEQUENCE);
  }

  /**
   * @param options The entries and the way to reach them.
   * @returns An object without open questions.
   */
  static create(options: OriginQuestionsOptions): OriginQuestions {
    return new OriginQuestions(options);
  }

  /**
   * Asks until an entry knows the stream, all have replied, or the time is over.
   *
   * @param id Id of the attempt that began the stream.
   * @param service Its service.
   * @returns The replies, each sent after this call, and the number of entries that did not reply.
   */
  async ask(id: string, service: string): Promise<Replies> {
    const { members, clock, send } = this.#options;
    const nowMs = clock.nowMs();
    const waiting = new Set(members.mayKnow(id, nowMs, ASKED));
    if (waiting.size === 0) return { replies: [], missing: 0 };
    const sequence = ++this.#lastSequence;
    const replies: OriginReply[] = [];
    const question = { waiting, replies, done: new AbortController() };
    this.#open.set(sequence, question);
    const { signal } = question.done;
    const endMs = nowMs + REPLY_TIMEOUT_MS;
    while (!signal.aborted && clock.nowMs() < endMs) {
      for (const address of waiting) {
        send(address, { kind: "ask", sequence, id, service });
      }
      await clock.sleep(REPEAT_INTERVAL_MS, signal);
    }
    // Replies may have arrived unread while the event loop was blocked.
    if (!signal.aborted) await setImmediate();
    this.#open.delete(sequence);
    return { replies, missing: waiting.size };
  }

  /**
   * @param address The entry that replies.
   * @param reply Its reply; one to a question that isn't open, or a second one, is ignored.
   */
  onReply(address: string, reply: OriginReply): void {
    const question = this.#open.get(reply.sequence);
    if (!question?.waiting.delete(address)) return;
    question.replies.push(reply);
    if (reply.row || question.waiting.size === 0) question.done.abort();
  }

  /** Ends the wait for all replies. */
  close(): void {
    for (const { done } of this.#open.values()) done.abort();
  }
}
