/** A small engine in memory for this folder's tests: runs say what they are told, when told. */
import { Result } from "true-myth";
import type {
  CacheEvent,
  CacheFeedStep,
  Engine,
  EngineCall,
  EngineFailure,
  EngineInfo,
  EngineLoad,
  EngineOrder,
  EngineStep,
} from "../backends/engine.ts";
import { Wakeup } from "./wakeup.ts";

type Snapshot = Extract<CacheFeedStep, { kind: "snapshot" }>;

/** One request as the engine got it. */
export interface FakeRun {
  call: EngineCall;
  isCancelled: boolean;
  /** Pieces that were read by the agent. */
  taken: number;
  say(text: string): void;
  end(cachedTokens?: number): void;
  fail(failure: EngineFailure): void;
}

/** An {@link Engine} that tests drive by hand. */
export class FakeEngine implements Engine {
  incarnation = "engine-1";
  isUp = true;
  maxRunning = 2;
  models = [{ model: "m", adapter: "", weightsVersion: "1" }];
  /** True: runs end at once, without a piece. */
  endsAtOnce = false;
  readonly runs: FakeRun[] = [];
  readonly orders: EngineOrder[] = [];
  blocks: CacheEvent[] = [];
  nextSeq = 1;
  snapshots = 0;
  /** Set: orders wait for it. */
  orderGate: Promise<void> | undefined;
  readonly #arrived = Wakeup.create();
  readonly #feed = Wakeup.create();
  readonly #events: CacheFeedStep[] = [];

  private constructor() {}

  static create(): FakeEngine {
    return new FakeEngine();
  }

  /** Waits for the nth request, from 0. */
  async nthRun(index: number): Promise<FakeRun> {
    while (!this.runs[index]) await this.#arrived.wait();
    return this.runs[index];
  }

  publish(event: CacheEvent): void {
    this.#events.push({ kind: "event", incarnation: this.incarnation, event });
    this.#feed.notify();
  }

  info(): Promise<Result<EngineInfo, EngineFailure>> {
    return Promise.resolve(this.#answer({
      incarnation: this.incarnation,
      models: [...this.models],
      blockBytes: 256,
      maxRunning: this.maxRunning,
      cacheBlocks: 1000,
      prefillMsPerToken: 0.1,
      decodeMsPerToken: 1,
    }));
  }

  load(): Promise<Result<EngineLoad, EngineFailure>> {
    return Promise.resolve(this.#answer({
      incarnation: this.incarnation,
      running: 0,
      waiting: 0,
      prefillTokensQueued: 0,
      ageMs: 0,
    }));
  }

  async *run(
    call: EngineCall,
    signal: AbortSignal,
  ): AsyncGenerator<Result<EngineStep, EngineFailure>> {
    const steps: Result<EngineStep, EngineFailure>[] = [];
    const more = Wakeup.create();
    const push = (step: Result<EngineStep, EngineFailure>) => {
      steps.push(step);
      more.notify();
    };
    const run: FakeRun = {
      call,
      isCancelled: false,
      taken: 0,
      say: (text) =>
        push(Result.ok({ kind: "piece", data: Buffer.from(text) })),
      end: (cachedTokens = 0) =>
        push(Result.ok({
          kind: "end",
          promptTokens: 10,
          completionTokens: run.taken,
          cachedTokens,
        })),
      fail: (failure) => push(Result.err(failure)),
    };
    signal.addEventListener("abort", () => {
      run.isCancelled = true;
      more.notify();
    });
    if (!this.isUp) {
      return yield Result.err({ kind: "unreachable", message: "down" });
    }
    this.runs.push(run);
    if (this.endsAtOnce) run.end();
    this.#arrived.notify();
    while (!signal.aborted) {
      const step = steps.shift();
      if (!step) {
        await more.wait();
        continue;
      }
      if (step.isOk && step.value.kind === "piece") run.taken++;
      yield step;
      if (step.isErr || step.value.kind === "end") return;
    }
  }

  cacheSnapshot(): Promise<Result<Snapshot, EngineFailure>> {
    this.snapshots++;
    return Promise.resolve(this.#answer({
      kind: "snapshot",
      incarnation: this.incarnation,
      nextSeq: this.nextSeq,
      blocks: this.blocks,
    }));
  }

  async *cacheEvents(
    _sinceSeq: number,
    signal: AbortSignal,
  ): AsyncGenerator<Result<CacheFeedStep, EngineFailure>> {
    signal.addEventListener("abort", () => this.#feed.notify());
    while (!signal.aborted) {
      const step = this.#events.shift();
      if (step) yield Result.ok(step);
      else await this.#feed.wait();
    }
  }

  exportCache(): Promise<Result<Uint8Array, EngineFailure>> {
    return Promise.resolve(Result.ok(new Uint8Array()));
  }

  importCache(): Promise<Result<number, EngineFailure>> {
    return Promise.resolve(Result.ok(0));
  }

  async order(order: EngineOrder): Promise<Result<void, EngineFailure>> {
    this.orders.push(order);
    await this.orderGate;
    return Result.ok(undefined);
  }

  close(): void {}

  #answer<T>(value: T): Result<T, EngineFailure> {
    if (this.isUp) return Result.ok(value);
    return Result.err({ kind: "unreachable", message: "The engine is down" });
  }
}
