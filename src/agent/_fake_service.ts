/** An in-memory plain service for this folder's tests. */
import { Result } from "true-myth";
import type {
  PlainService,
  ServiceCall,
  ServiceFailure,
  ServiceResponsePart,
} from "../backends/service.ts";
import { ConditionVariable } from "./condition_variable.ts";

type Step = Result<ServiceResponsePart, ServiceFailure>;

/** A {@link PlainService} that records calls and can delay or fail its answers. */
export class FakeService implements PlainService {
  readonly calls: ServiceCall[] = [];
  /** If set, every call fails with this failure. */
  failure: ServiceFailure | undefined;
  /** Text appended to every answer. */
  padding = "";
  readonly callArrived = ConditionVariable.create();
  readonly #released = ConditionVariable.create();
  #isPaused = false;

  private constructor() {}

  static create(): FakeService {
    return new FakeService();
  }

  /** Delays all answers until {@link release} is called. */
  hold(): void {
    this.#isPaused = true;
  }

  release(): void {
    this.#isPaused = false;
    this.#released.notify();
  }

  async *run(call: ServiceCall): AsyncGenerator<Step> {
    if (this.failure?.kind === "unreachable") {
      return yield Result.err(this.failure);
    }
    this.calls.push(call);
    this.callArrived.notify();
    if (this.failure) return yield Result.err(this.failure);
    while (this.#isPaused) await this.#released.wait();
    yield Result.ok({ kind: "head", status: 201, headers: [] });
    const data = Buffer.from(`answer ${this.calls.length}${this.padding}`);
    yield Result.ok({ kind: "piece", data });
    yield Result.ok({ kind: "end" });
  }

  close(): void {}
}
