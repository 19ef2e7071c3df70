/** An in-memory engine for this folder's tests, which control the output of each run. */
import { Result } from "true-myth";
import type {
  CacheEvent,
  CacheFeedItem,
  Engine,
  EngineCall,
  EngineFailure,
  EngineInfo,
  EngineLoad,
  EngineOrder,
  EngineResponsePart,
} from "../backends/engine.ts";
import { ConditionVariable } from "./condition_variable.ts";

type Snapshot = Extract<CacheFeedItem, { kind: "snapshot" }>;

/** A request that the engine received, with controls for its output. */
export interface FakeRun {
  call: EngineCall;
  isCancelled: boolean;
  /** Number of pieces that the agent has read. */
  piecesRead: number;
  emitPiece(text: string): void;
  end(cachedTokens?: number): void;
  fail(failure: EngineFailure): void;
}

/** An {@link Engine} whose runs and cache events are controlled by tests. */
export class FakeEngine implements Engine {
  incarnation = "engine-1";
  isUp = true;
  maxRunning = 2;
  models = [{ model: "m", adapter: "", weightsVersion: "1" }];
  /** True if runs end immediately, without a piece. */
  endsImmediately = false;
  readonly runs: FakeRun[] = [];
  readonly orders: EngineOrder[] = [];
  blocks: CacheEvent[] = [];
  nextSeq = 1;
  snapshots = 0;
  /** If set, orders wait until this promise resolves. */
  orderGate: Promise<void> | undefined;
  readonly #runAdded = ConditionVariable.create();
  readonly #eventAdded = ConditionVariable.create();
  readonly #events: CacheFeedItem[] = [];

  private constructor() {}

  static create(): FakeEngine {
    return new FakeEngine();
  }

  /** Waits for the request with this zero-based index. */
  async waitForRun(index: number): Promise<FakeRun> {
    while (!this.runs[index]) await this.#runAdded.wait();
    return this.runs[index];
  }

  publish(event: CacheEvent): void {
    this.#events.push({ kind: "event", incarnation: this.incarnation, event });
    this.#eventAdded.notify();
  }

  info(): Promise<Result<EngineInfo, EngineFailure>> {
    return Promise.resolve(this.#reply({
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
    return Promise.resolve(this.#reply({
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
  ): AsyncGenerator<Result<EngineResponsePart, EngineFailure>> {
    const steps: Result<EngineResponsePart, EngineFailure>[] = [];
    const stepAdded = ConditionVariable.create();
    const push = (step: Result<EngineResponsePart, EngineFailure>) => {
      steps.push(step);
      stepAdded.notify();
    };
    const run: FakeRun = {
      call,
      isCancelled: false,
      piecesRead: 0,
      emitPiece: (text) =>
        push(Result.ok({ kind: "piece", data: Buffer.from(text) })),
      end: (cachedTokens = 0) =>
        push(Result.ok({
          kind: "end",
          promptTokens: 10,
          completionTokens: run.piecesRead,
          cachedTokens,
        })),
      fail: (failure) => push(Result.err(failure)),
    };
    signal.addEventListener("abort", () => {
      run.isCancelled = true;
      stepAdded.notify();
    });
    if (!this.isUp) {
      return yield Result.err({ kind: "unreachable", message: "down" });
    }
    this.runs.push(run);
    if (this.endsImmediately) run.end();
    this.#runAdded.notify();
    while (!signal.aborted) {
      const step = steps.shift();
      if (!step) {
        await stepAdded.wait();
        continue;
      }
      if (step.isOk && step.value.kind === "piece") run.piecesRead++;
      yield step;
      if (step.isErr || step.value.kind === "end") return;
    }
  }

  cacheSnapshot(): Promise<Result<Snapshot, EngineFailure>> {
    this.snapshots++;
    return Promise.resolve(this.#reply({
      kind: "snapshot",
      incarnation: this.incarnation,
      nextSeq: this.nextSeq,
      blocks: this.blocks,
    }));
  }

  async *cacheEvents(
    _sinceSeq: number,
    signal: AbortSignal,
  ): AsyncGenerator<Result<CacheFeedItem, EngineFailure>> {
    signal.addEventListener("abort", () => this.#eventAdded.notify());
    while (!signal.aborted) {
      const step = this.#events.shift();
      if (step) yield Result.ok(step);
      else await this.#eventAdded.wait();
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

  #reply<T>(value: T): Result<T, EngineFailure> {
    if (this.isUp) return Result.ok(value);
    return Result.err({ kind: "unreachable", message: "The engine is down" });
  }
}
