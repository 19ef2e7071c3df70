/** Polls the engine to detect whether it is up, and its restarts. */
import type { Clock, Logger } from "../base/mod.ts";
import type { Engine, EngineInfo, EngineLoad } from "../backends/engine.ts";

/** Receives the reports of an {@link EngineWatch}. */
export interface EngineListener {
  /** The engine answered for the first time, or restarted; its cache is empty. */
  onNewIncarnation(info: EngineInfo): void;
  onLoad(load: EngineLoad): void;
  /** The engine stopped responding. */
  onDown(): void;
}

/** Options of {@link EngineWatch}. */
export interface EngineWatchOptions {
  engine: Engine;
  listener: EngineListener;
  clock: Clock;
  log: Logger;
  /** Returns whether requests are waiting or running. */
  isBusy: () => boolean;
}

/** Poll interval while the engine is busy, failing or down. */
const POLL_INTERVAL_MS = 500;
/**
 * Poll interval of an idle engine. It is longer because a poll costs about 1 ms of CPU time, and the
 * broken event feed reveals the end of the engine anyway.
 */
const IDLE_POLL_INTERVAL_MS = 4000;
/** Interval between reads of the engine's info, which is also read after restarts and orders. */
const INFO_INTERVAL_MS = 8000;
const FAILURES_UNTIL_DOWN = 2;
/** Timeout of {@link EngineWatch.hasEnded}; a local engine answers or refuses within a few ms. */
const END_CHECK_TIMEOUT_MS = 500;

/** Polls one engine for its info and load. */
export class EngineWatch {
  readonly #options: EngineWatchOptions;
  #info: EngineInfo | undefined;
  #isUp = false;
  #failures = 0;
  #lastPollMs = -Infinity;
  #lastInfoMs = -Infinity;

  private constructor(options: EngineWatchOptions) {
    this.#options = options;
  }

  /**
   * @param options The engine and the listener.
   * @returns A watch that has not polled yet.
   */
  static create(options: EngineWatchOptions): EngineWatch {
    return new EngineWatch(options);
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /** The engine's last reported info; undefined before its first answer. */
  get info(): EngineInfo | undefined {
    return this.#info;
  }

  get incarnation(): string {
    return this.#info?.incarnation ?? "";
  }

  /** @param signal Stops the task when aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (this.#isPollDue()) await this.poll();
      await clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }

  /** Polls the engine once. */
  async poll(): Promise<void> {
    const nowMs = this.#options.clock.nowMs();
    const isInfoDue = !this.#isUp ||
      nowMs - this.#lastInfoMs >= INFO_INTERVAL_MS;
    this.#lastPollMs = nowMs;
    if (isInfoDue && !await this.readInfo()) return;
    const load = await this.#options.engine.load();
    if (load.isErr) return this.#recordFailure(load.error.kind);
    if (load.value.incarnation !== this.incarnation) {
      if (!await this.readInfo()) return;
      if (load.value.incarnation !== this.incarnation) return;
    }
    this.#failures = 0;
    this.#options.listener.onLoad(load.value);
  }

  /** @returns Whether the engine's info was read. */
  async readInfo(): Promise<boolean> {
    const info = await this.#options.engine.info();
    if (info.isErr) {
      this.#recordFailure(info.error.kind);
      return false;
    }
    const isNew = info.value.incarnation !== this.incarnation;
    this.#info = info.value;
    this.#lastInfoMs = this.#options.clock.nowMs();
    this.#isUp = true;
    this.#failures = 0;
    if (isNew) this.#options.listener.onNewIncarnation(info.value);
    return true;
  }

  /**
   * Checks whether the engine process has ended after one of its connections broke, which can also
   * happen while it is running.
   *
   * @param incarnation Incarnation of the engine that had the connection.
   * @returns Whether that incarnation is known to have ended.
   */
  async hasEnded(incarnation: string): Promise<boolean> {
    const { clock } = this.#options;
    const infoRead = this.readInfo();
    const timeout = clock.sleep(END_CHECK_TIMEOUT_MS).then(() => false);
    const isAnswered = await Promise.race([infoRead, timeout]);
    return isAnswered ? this.incarnation !== incarnation : !this.#isUp;
  }

  /** Marks the engine as down without waiting for a poll, after a run could not reach it. */
  markUnreachable(): void {
    this.#markDown();
  }

  #isPollDue(): boolean {
    const { clock, isBusy } = this.#options;
    const needsFastPolling = !this.#isUp || this.#failures > 0 || isBusy();
    return needsFastPolling ||
      clock.nowMs() - this.#lastPollMs >= IDLE_POLL_INTERVAL_MS;
  }

  #recordFailure(kind: string): void {
    this.#failures++;
    if (kind === "unreachable" || this.#failures >= FAILURES_UNTIL_DOWN) {
      this.#markDown();
    }
  }

  #markDown(): void {
    if (!this.#isUp) return;
    this.#isUp = false;
    this.#options.log.warn("Engine is not responding");
    this.#options.listener.onDown();
  }
}
