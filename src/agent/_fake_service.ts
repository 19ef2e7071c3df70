/** A small plain service in memory for this folder's tests. */
import { Result } from "true-myth";
import type {
  PlainService,
  ServiceCall,
  ServiceFailure,
  ServiceStep,
} from "../backends/service.ts";
import { Wakeup } from "./wakeup.ts";

type Step = Result<ServiceStep, ServiceFailure>;

/** A {@link PlainService} that counts calls and answers when it is told. */
export class FakeService implements PlainService {
  readonly calls: ServiceCall[] = [];
  /** Set: calls fail with it. */
  failure: ServiceFailure | undefined;
  /** Appended to answers. */
  padding = "";
  readonly arrived = Wakeup.create();
  readonly #answers = Wakeup.create();
  #isHeld = false;

  private constructor() {}

  static create(): FakeService {
    return new FakeService();
  }

  /** Lets calls wait until {@link release}. */
  hold(): void {
    this.#isHeld = true;
  }

  release(): void {
    this.#isHeld = false;
    this.#answers.notify();
  }

  async *run(call: ServiceCall): AsyncGenerator<Step> {
    if (this.failure?.kind === "unreachable") {
      return yield Result.err(this.failure);
    }
    this.calls.push(call);
    this.arrived.notify();
    if (this.failure) return yield Result.err(this.failure);
    while (this.#isHeld) await this.#answers.wait();
    yield Result.ok({ kind: "head", status: 201, headers: [] });
    const data = Buffer.from(`answer ${this.calls.length}${this.padding}`);
    yield Result.ok({ kind: "piece", data });
    yield Result.ok({ kind: "end" });
  }

  close(): void {}
}
