/**
 * Requests on their way in, first come, first served. Node accepts one connection in a turn of its
 * loop, so in a process with much to do connections would wait for seconds to be accepted while all
 * that is accepted is read and served at once. Here connections come first: a request is served once
 * nobody waits to be accepted, and one in a turn.
 */
import type { Clock } from "../base/mod.ts";

/** A process that is behind by less reads what arrives as it comes. */
const BEHIND_MS = 100;
/** Turns from the read of a request to that of its connection's end, and until all know of it. */
const SETTLE_TURNS = 10;
/** Turns in a row that may pass with nothing but connections accepted. */
const ACCEPT_TURNS = 32;

/** What an {@link Intake} works with. */
export interface IntakeOptions {
  clock: Pick<Clock, "nowMs">;
  /** How far the process is behind with its open sockets. */
  lagMs(): number;
  /** Runs its argument after the process has polled its sockets once more. */
  nextTurn?: (run: () => void) => void;
}

interface Waiting {
  /** It is not served before this turn. */
  fromTurn: number;
  admit(): void;
}

/** Requests that have been read and not served yet. */
export class Intake {
  readonly #options: IntakeOptions;
  readonly #nextTurn: (run: () => void) => void;
  readonly #waiting: Waiting[] = [];
  #turn = 0;
  #isTurning = false;
  #hasAccepted = false;
  /** Turns in a row in which a connection was accepted. */
  #acceptTurns = 0;
  #acceptsSinceMs: number;

  private constructor(options: IntakeOptions) {
    this.#options = options;
    this.#nextTurn = options.nextTurn ?? setImmediate;
    this.#acceptsSinceMs = options.clock.nowMs();
  }

  /**
   * @param options Clock, and how far the process is behind.
   * @returns An intake in which nothing waits.
   */
  static create(options: IntakeOptions): Intake {
    return new Intake(options);
  }

  /** How long what is read now may have waited at most, and the like for what is accepted. */
  get behindMs(): number {
    const { clock, lagMs } = this.#options;
    const acceptMs = this.#isTurning && this.#acceptTurns > 0
      ? clock.nowMs() - this.#acceptsSinceMs
      : 0;
    return Math.max(lagMs(), acceptMs);
  }

  /** A connection was accepted; others may wait. */
  accepted(): void {
    this.#hasAccepted = true;
    this.#turnOn();
  }

  /** Resolves when a request that was just read is to be served. */
  enter(): Promise<void> {
    const isBehind = this.behindMs >= BEHIND_MS;
    const fromTurn = this.#turn + (isBehind ? SETTLE_TURNS : 0);
    return new Promise((admit) => {
      this.#waiting.push({ fromTurn, admit });
      this.#turnOn();
    });
  }

  #turnOn(): void {
    if (this.#isTurning) return;
    this.#isTurning = true;
    if (this.#acceptTurns === 0) {
      this.#acceptsSinceMs = this.#options.clock.nowMs();
    }
    this.#nextTurn(() => this.#step());
  }

  #step(): void {
    this.#turn++;
    const hasAccepted = this.#hasAccepted;
    this.#hasAccepted = false;
    if (hasAccepted) this.#acceptTurns++;
    else this.#noneWaits();
    const mayServe = !hasAccepted || this.#acceptTurns % ACCEPT_TURNS === 0;
    if (mayServe) this.#serveOne();
    this.#isTurning = false;
    if (hasAccepted || this.#waiting.length > 0) this.#turnOn();
  }

  /** A turn has passed without a connection, so none waits. */
  #noneWaits(): void {
    this.#acceptTurns = 0;
    this.#acceptsSinceMs = this.#options.clock.nowMs();
  }

  #serveOne(): void {
    const [first] = this.#waiting;
    if (!first || first.fromTurn > this.#turn) return;
    this.#waiting.shift();
    first.admit();
  }
}
