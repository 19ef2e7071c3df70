/**
 * FIFO queue of requests that were read and are not served yet. Node accepts one connection per turn
 * of its event loop. If all requests were served as soon as they are read, connections to a busy
 * process would wait seconds to be accepted. This queue gives accepting priority: a request is served
 * once no connection waits to be accepted, and at most one request per turn.
 */
import type { Clock } from "../base/mod.ts";

/** A request that waited at least this long before it was read counts as read late. */
const LATE_READ_LAG_MS = 100;
/** Turns that a request read late waits, so that a disconnect of its client is noticed first. */
const LATE_READ_TURNS = 10;
/** While every turn accepts a connection, one request is served after this many turns. */
const MAX_ACCEPT_TURNS = 32;
/** The same while new connections are closed, so that those which were accepted are served. */
const MAX_CLOSING_TURNS = 4;

/** Dependencies of an {@link Intake}. */
export interface IntakeOptions {
  clock: Pick<Clock, "nowMs">;
  /** Time that data waits in the process's open sockets before it is read. */
  lagMs(): number;
  /** Whether new connections are closed unread, so that accepting them takes little time. */
  isClosing?(): boolean;
  /** Calls its argument after the event loop has polled the sockets again; default: setImmediate. */
  nextTurn?: (run: () => void) => void;
}

interface WaitingRequest {
  /** First turn in which the request may be served. */
  earliestTurn: number;
  enteredAtMs: number;
  admit(): void;
}

/** Queue of requests that have been read and are not served yet. */
export class Intake {
  readonly #options: IntakeOptions;
  readonly #nextTurn: (run: () => void) => void;
  readonly #waiting: WaitingRequest[] = [];
  #turn = 0;
  #isTurnScheduled = false;
  #hasAccepted = false;
  /** Consecutive turns in which a connection was accepted. */
  #acceptTurns = 0;
  #acceptBacklogSinceMs: number;

  private constructor(options: IntakeOptions) {
    this.#options = options;
    this.#nextTurn = options.nextTurn ?? setImmediate;
    this.#acceptBacklogSinceMs = options.clock.nowMs();
  }

  /**
   * @param options Clock and lag of the process.
   * @returns An empty queue.
   */
  static create(options: IntakeOptions): Intake {
    return new Intake(options);
  }

  /** Longest time that data read now, or a connection accepted now, may have waited. */
  get maxWaitMs(): number {
    const { clock, lagMs } = this.#options;
    const acceptMs = this.#isTurnScheduled && this.#acceptTurns > 0
      ? clock.nowMs() - this.#acceptBacklogSinceMs
      : 0;
    return Math.max(lagMs(), acceptMs);
  }

  /** Longest time that a connection or a request has waited or may have waited until now. */
  get behindMs(): number {
    const [first] = this.#waiting;
    const queuedMs = first
      ? this.#options.clock.nowMs() - first.enteredAtMs
      : 0;
    return Math.max(this.maxWaitMs, queuedMs);
  }

  /** Reports that a connection was accepted; further ones may wait. */
  accepted(): void {
    this.#hasAccepted = true;
    this.#scheduleTurn();
  }

  /** Enqueues a request that was just read; resolves when it may be served. */
  waitForTurn(): Promise<void> {
    const isBehind = this.maxWaitMs >= LATE_READ_LAG_MS;
    const fromTurn = this.#turn + (isBehind ? LATE_READ_TURNS : 0);
    const enteredAtMs = this.#options.clock.nowMs();
    return new Promise((admit) => {
      this.#waiting.push({ earliestTurn: fromTurn, enteredAtMs, admit });
      this.#scheduleTurn();
    });
  }

  #scheduleTurn(): void {
    if (this.#isTurnScheduled) return;
    this.#isTurnScheduled = true;
    if (this.#acceptTurns === 0) {
      this.#acceptBacklogSinceMs = this.#options.clock.nowMs();
    }
    this.#nextTurn(() => this.#runTurn());
  }

  #runTurn(): void {
    this.#turn++;
    const hasAccepted = this.#hasAccepted;
    this.#hasAccepted = false;
    if (hasAccepted) this.#acceptTurns++;
    else this.#resetAcceptBacklog();
    const maxTurns = this.#options.isClosing?.()
      ? MAX_CLOSING_TURNS
      : MAX_ACCEPT_TURNS;
    const mayServe = !hasAccepted || this.#acceptTurns % maxTurns === 0;
    if (mayServe) this.#admitFirst();
    this.#isTurnScheduled = false;
    if (hasAccepted || this.#waiting.length > 0) this.#scheduleTurn();
  }

  /** Called after a turn without a new connection: none waits to be accepted. */
  #resetAcceptBacklog(): void {
    this.#acceptTurns = 0;
    this.#acceptBacklogSinceMs = this.#options.clock.nowMs();
  }

  #admitFirst(): void {
    const [first] = this.#waiting;
    if (!first || first.earliestTurn > this.#turn) return;
    this.#waiting.shift();
    first.admit();
  }
}
