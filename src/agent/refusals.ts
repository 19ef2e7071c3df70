/** Refusals of requests. A refused request was not run by this agent and never will be. */
import type { Clock } from "../base/mod.ts";
import { type Refusal, RefusalCode } from "../wire/gen/cicadahitch.ts";

/** Number of recent refusals kept for state dumps. */
const KEPT_REFUSALS = 32;
const CODE_NAMES = new Map<RefusalCode, string>(
  Object.entries(RefusalCode).map(([name, code]) => [code, name]),
);

/** A refusal as it appears in a state dump. */
export interface RefusalRecord {
  ageMs: number;
  code: string;
  team: string;
  message: string;
}

/**
 * @param code Reason of the refusal.
 * @param message Readable description, without prompts or keys.
 * @param retryAfterMs Time after which a retry may succeed; 0 if unknown.
 * @returns The refusal.
 */
export function refuse(
  code: RefusalCode,
  message: string,
  { retryAfterMs = 0 }: { retryAfterMs?: number } = {},
): Refusal {
  return {
    code,
    message,
    retryAfterMs: Math.ceil(retryAfterMs),
    tryAddress: "",
  };
}

/** Counts refusals by code and keeps the most recent ones. */
export class RefusalLog {
  readonly #clock: Clock;
  readonly #counts = new Map<string, number>();
  #recent: { atMs: number; code: string; team: string; message: string }[] = [];

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param clock Clock for the times of refusals.
   * @returns An empty log.
   */
  static create(clock: Clock): RefusalLog {
    return new RefusalLog(clock);
  }

  /**
   * @param refusal The refusal that was sent.
   * @param team Team of the refused request.
   */
  add(refusal: Refusal, team: string): void {
    const code = CODE_NAMES.get(refusal.code) ?? String(refusal.code);
    this.#counts.set(code, (this.#counts.get(code) ?? 0) + 1);
    const atMs = this.#clock.nowMs();
    // The backend server's message about an invalid request may quote the request.
    const mayQuoteRequest = refusal.code === RefusalCode.INVALID;
    const message = mayQuoteRequest ? "" : refusal.message;
    this.#recent.push({ atMs, code, team, message });
    if (this.#recent.length > KEPT_REFUSALS) this.#recent.shift();
  }

  /** Number of refusals by code. */
  get counts(): Record<string, number> {
    return Object.fromEntries(this.#counts);
  }

  /** The most recent refusals, oldest first. */
  get recent(): RefusalRecord[] {
    const nowMs = this.#clock.nowMs();
    return this.#recent.map(({ atMs, code, team, message }) => ({
      ageMs: Math.round(nowMs - atMs),
      code,
      team,
      message,
    }));
  }
}
