/** Knows whether the engine is up and which incarnation it is. */
import type { Clock, Logger } from "../base/mod.ts";
import type { Engine, EngineInfo, EngineLoad } from "../backends/engine.ts";

/** What the watch reports. */
export interface EngineListener {
  /** The engine answers for the first time, or started anew; its cache is empty. */
  onNewIncarnation(info: EngineInfo): void;
  onLoad(load: EngineLoad): void;
  /** The engine does not answer. */
  onDown(): void;
}

/** What {@link EngineWatch} is made from. */
export interface EngineWatchOptions {
  engine: Engine;
  listener: EngineListener;
  clock: Clock;
  log: Logger;
  /** Whether requests wait or run. */
  isBusy: () => boolean;
}

/** How often an engine is polled that works or is away. */
const POLL_MS = 500;
/**
 * A poll costs about a millisecond of processor time, so an idle engine is polled less: its end shows
 * in the event feed that breaks.
 */
const IDLE_POLL_MS = 4000;
/** Info is also read when the incarnation changes, and after orders. */
const INFO_MS = 8000;
const FAILURES_UNTIL_DOWN = 2;
/** An engine beside the agent answers in a few ms, or refuses the connection at once. */
const ENDED_ANSWER_MS = 500;

/** Polls one engine. */
export class EngineWatch {
  readonly #options: EngineWatchOptions;
  #info: EngineInfo | undefined;
  #isUp = false;
  #failures = 0;
  #polledMs = -Infinity;
  #infoMs = -Infinity;

  private constructor(options: EngineWatchOptions) {
    this.#options = options;
  }

  /**
   * @param options Engine and listener.
   * @returns A watch that has not looked yet.
   */
  static create(options: EngineWatchOptions): EngineWatch {
    return new EngineWatch(options);
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /** What the engine last said; undefined: nothing yet. */
  get info(): EngineInfo | undefined {
    return this.#info;
  }

  get incarnation(): string {
    return this.#info?.incarnation ?? "";
  }

  /** @param signal Ends the task. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.#isPollDue()) await this.poll();
      await clock.sleep(POLL_MS, signal);
    }
  }

  /** Looks once. */
  async poll(): Promise<void> {
    const nowMs = this.#options.clock.nowMs();
    const isInfoDue = !this.#isUp || nowMs - this.#infoMs >= INFO_MS;
    this.#polledMs = nowMs;
    if (isInfoDue && !await this.readInfo()) return;
    const load = await this.#options.engine.load();
    if (load.isErr) return this.#noteFailure(load.error.kind);
    if (load.value.incarnation !== this.incarnation) {
      if (!await this.readInfo()) return;
      if (load.value.incarnation !== this.incarnation) return;
    }
    this.#failures = 0;
    this.#options.listener.onLoad(load.value);
  }

  /** @returns Whether the engine said what it has loaded. */
  async readInfo(): Promise<boolean> {
    const info = await this.#options.engine.info();
    if (info.isErr) {
      this.#noteFailure(info.error.kind);
      return false;
    }
    const isNew = info.value.incarnation !== this.incarnation;
    this.#info = info.value;
    this.#infoMs = this.#options.clock.nowMs();
    this.#isUp = true;
    this.#failures = 0;
    if (isNew) this.#options.listener.onNewIncarnation(info.value);
    return true;
  }

  /**
   * A connection to the engine broke, which a living one may do as well.
   *
   * @param incarnation Of the engine that had the connection.
   * @returns Whether that engine is known to have ended.
   */
  async hasEnded(incarnation: string): Promise<boolean> {
    const { clock } = this.#options;
    const asked = this.readInfo();
    const late = clock.sleep(ENDED_ANSWER_MS).then(() => false);
    const isAnswered = await Promise.race([asked, late]);
    return isAnswered ? this.incarnation !== incarnation : !this.#isUp;
  }

  /** A run could not reach the engine: no need to wait for the next polls. */
  noteUnreachable(): void {
    this.#goDown();
  }

  #isPollDue(): boolean {
    const { clock, isBusy } = this.#options;
    const isAnxious = !this.#isUp || this.#failures > 0 || isBusy();
    return isAnxious || clock.nowMs() - this.#polledMs >= IDLE_POLL_MS;
  }

  #noteFailure(kind: string): void {
    this.#failures++;
    if (kind === "unreachable" || this.#failures >= FAILURES_UNTIL_DOWN) {
      this.#goDown();
    }
  }

  #goDown(): void {
    if (!this.#isUp) return;
    this.#isUp = false;
    this.#options.log.warn("The engine does not answer");
    this.#options.listener.onDown();
  }
}
