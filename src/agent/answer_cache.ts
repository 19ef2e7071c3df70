/**
 * Runs by idempotency key, so that a repeated request gets the answer of the first run. Answers are
 * kept for a limited time and within a byte limit. If the byte limit evicts an answer, its key
 * stays known, so that a repeat still does not run again.
 */
import type { Clock } from "../base/mod.ts";
import { type Run, RunState } from "./run.ts";

/** Clock and limits of {@link AnswerCache}. */
export interface AnswerCacheOptions {
  clock: Clock;
  maxBytes?: number;
  maxKeys?: number;
}

/** Result of looking up an idempotency key. */
export type KeyLookup =
  | { kind: "new" }
  | { kind: "known"; run: Run }
  /** The key was used before with a different request. */
  | { kind: "reused" };

interface CachedAnswer {
  run: Run;
  fingerprint: Buffer;
  keepMs: number;
  /** Bytes counted against the limit; 0 until the run has ended. */
  sizeBytes: number;
}

const DEFAULTS = { maxBytes: 8 * 1024 * 1024, maxKeys: 20_000 };

/** Answers of at-most-once calls. */
export class AnswerCache {
  readonly #options: Required<AnswerCacheOptions>;
  /** In order of each key's first request. */
  readonly #answers = new Map<string, CachedAnswer>();
  #sizeBytes = 0;

  private constructor(options: Required<AnswerCacheOptions>) {
    this.#options = options;
  }

  /**
   * @param options Clock and limits.
   * @returns An empty cache.
   */
  static create(options: AnswerCacheOptions): AnswerCache {
    return new AnswerCache({ ...DEFAULTS, ...options });
  }

  get sizes(): { keys: number; keptBytes: number } {
    return { keys: this.#answers.size, keptBytes: this.#sizeBytes };
  }

  /**
   * @param key Digest of the key, in hex.
   * @param fingerprint Hash of the call.
   * @returns Whether the key is new, and its run if it is known.
   */
  find(key: string, fingerprint: Uint8Array): KeyLookup {
    const answer = this.#answers.get(key);
    if (!answer) return { kind: "new" };
    if (!answer.fingerprint.equals(fingerprint)) return { kind: "reused" };
    return { kind: "known", run: answer.run };
  }

  /**
   * @param key Digest of a new key, in hex.
   * @param run The run that it started.
   * @param options Hash of the call, and how long repeats are recognized after the run's end.
   */
  add(
    key: string,
    run: Run,
    options: { fingerprint: Uint8Array; keepMs: number },
  ): void {
    const fingerprint = Buffer.from(options.fingerprint);
    const { keepMs } = options;
    this.#answers.set(key, { run, fingerprint, keepMs, sizeBytes: 0 });
    this.#removeExcessKey();
  }

  /**
   * Records that a key's run has ended, and evicts the oldest answers beyond the byte limit.
   *
   * @param key Digest of the key, in hex.
   */
  markEnded(key: string): void {
    const answer = this.#answers.get(key);
    if (!answer) return;
    // A refused run did not execute, so a repeat counts as a first attempt.
    if (answer.run.output.ending?.kind === "refused") {
      this.#answers.delete(key);
      return;
    }
    answer.sizeBytes = answer.run.output.keptBytes;
    this.#sizeBytes += answer.sizeBytes;
    for (const each of this.#answers.values()) {
      if (this.#sizeBytes <= this.#options.maxBytes) return;
      this.#evictAnswer(each);
    }
  }

  /** Removes keys whose retention time is over. */
  sweep(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [key, answer] of this.#answers) {
      if (answer.run.state !== RunState.Ended) continue;
      if (nowMs - answer.run.endedMs < answer.keepMs) continue;
      this.#remove(key, answer);
    }
  }

  #removeExcessKey(): void {
    if (this.#answers.size <= this.#options.maxKeys) return;
    for (const [key, answer] of this.#answers) {
      if (answer.run.state !== RunState.Ended) continue;
      // The claims journal still recognizes this key if the request is repeated.
      this.#remove(key, answer);
      return;
    }
  }

  #remove(key: string, answer: CachedAnswer): void {
    this.#evictAnswer(answer);
    this.#answers.delete(key);
  }

  #evictAnswer(answer: CachedAnswer): void {
    this.#sizeBytes -= answer.sizeBytes;
    answer.sizeBytes = 0;
    if (answer.run.state === RunState.Ended) answer.run.output.drop();
  }
}
