/**
 * What the servers' caches are expected to hold, told once to an entry that has just started, so
 * that it does not have prompts read again that its peers know to be cached.
 */
import type { Clock, Logger } from "../base/mod.ts";
import { HttpCaller } from "../platform/mod.ts";
import type { CacheBook, OwnedBook, TaughtPart } from "./cache_book.ts";

/** Path of the call, on the control address. */
export const LESSONS_PATH = "/cached";
/** Time for the call. */
const CALL_MS = 1000;
/** An entry that has run for longer has learned from its own traffic. */
const LEARNING_MS = 5000;

/** A server, by id, or a store, by address, with the parts that it is expected to hold. */
interface Lesson {
  id: string;
  /** The server's start, if it is known. */
  bornAtMs?: number;
  /** Key and tokens in turn, to be short. */
  parts: [string, number][];
}

/** What a {@link Learner} works with. */
export interface LearnerOptions {
  clock: Clock;
  log: Logger;
  /** Port of the control address, the same on every entry. */
  controlPort: number;
  /** Whether servers are known, whose caches the lessons are about. */
  isReady(): boolean;
  /** Expected cache of a server's start, by id, or of a store, by address. */
  cacheOf(id: string, bornAtMs?: number): CacheBook | undefined;
}

/** Learns from the first peer that answers. */
export class Learner {
  readonly #options: LearnerOptions;
  readonly #startedAtMs: number;
  readonly #asked = new Set<string>();
  #isAsking = false;
  #hasLearned = false;

  private constructor(options: LearnerOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /**
   * @param options Where what is learned goes.
   * @returns A learner that has asked nobody yet.
   */
  static create(options: LearnerOptions): Learner {
    return new Learner(options);
  }

  /**
   * @param books Expected caches.
   * @returns The answer to a peer that asks, as JSON.
   */
  answer(books: Iterable<OwnedBook>): string {
    const nowMs = this.#options.clock.nowMs();
    const lessons: Lesson[] = [];
    for (const { id, bornAtMs, cache } of books) {
      const parts = cache.teach(nowMs).map((
        { key, tokens },
      ): [string, number] => [key, tokens]);
      lessons.push({ id, bornAtMs, parts });
    }
    return JSON.stringify({ lessons, upForMs: nowMs - this.#startedAtMs });
  }

  /**
   * Asks a peer in the first seconds of the process, each one once, until one knew something.
   *
   * @param ipAddress The peer.
   */
  async meet(ipAddress: string): Promise<void> {
    const { clock, log, controlPort, isReady } = this.#options;
    const isOld = clock.nowMs() - this.#startedAtMs > LEARNING_MS;
    if (this.#hasLearned || this.#isAsking || isOld || !isReady()) return;
    if (this.#asked.has(ipAddress)) return;
    this.#asked.add(ipAddress);
    this.#isAsking = true;
    const caller = HttpCaller.create(`${ipAddress}:${controlPort}`, CALL_MS);
    const answer = await caller.send({
      method: "GET",
      path: LESSONS_PATH,
      callMs: CALL_MS,
    });
    await caller.close();
    this.#isAsking = false;
    // The next peer that is met is asked instead.
    if (answer.isErr || answer.value.status !== 200) return;
    const lessons = readLessons(answer.value.body["lessons"]);
    if (!lessons) log.warn({ event: "peer_malformed", peer: ipAddress });
    const parts = this.#take(lessons ?? []);
    // A peer that has just started, too, knows next to nothing.
    const upForMs = Number(answer.value.body["upForMs"] ?? Infinity);
    this.#hasLearned = parts > 0 && upForMs >= LEARNING_MS;
    log.info({ event: "caches_learned", peer: ipAddress, parts, upForMs });
  }

  #take(lessons: Lesson[]): number {
    let count = 0;
    for (const { id, bornAtMs, parts } of lessons) {
      const taught = parts.map(([key, tokens]): TaughtPart => ({
        key,
        tokens,
      }));
      this.#options.cacheOf(id, bornAtMs)?.learn(taught);
      count += taught.length;
    }
    return count;
  }
}

/** Nothing, unless all of it has the form of a peer's answer. */
function readLessons(value: unknown): Lesson[] | undefined {
  const isAll = Array.isArray(value) && value.every(isLesson);
  return isAll ? value : undefined;
}

function isLesson(value: unknown): value is Lesson {
  if (typeof value !== "object" || value === null) return false;
  const { id, bornAtMs, parts } = value as Partial<Lesson>;
  const isStart = bornAtMs === undefined || Number.isFinite(bornAtMs);
  return typeof id === "string" && isStart && Array.isArray(parts) &&
    parts.every((part) =>
      Array.isArray(part) && typeof part[0] === "string" &&
      Number.isFinite(part[1])
    );
}
