/** Rates and time factor of a server: learned for engines, if the settings say so, else constants. */
import {
  type EngineRates,
  INITIAL_RATES,
  type PaceSums,
  type RateSample,
  type ServerPace,
  type ServiceRates,
} from "../service_rates/mod.ts";
import type { Health } from "./health.ts";

/** Times of one incarnation of one server. */
export class ServerTimes {
  readonly #health: Pick<Health, "slowness">;
  #learned: ServiceRates | undefined;
  #pace: ServerPace | undefined;
  #isEnded = false;
  /** Called when there is a sample that was not sent to the other entries. */
  onSample: () => void = () => {};

  private constructor(health: Pick<Health, "slowness">) {
    this.#health = health;
  }

  /**
   * @param health Has the server's time factor while rates aren't learned.
   * @param learned Learned rates of the server's service; undefined if they aren't learned.
   * @returns Times of a server that has not answered yet.
   */
  static create(
    health: Pick<Health, "slowness">,
    learned: ServiceRates | undefined,
  ): ServerTimes {
    const times = new ServerTimes(health);
    times.use(learned);
    return times;
  }

  /** Rates of the server's service. */
  get rates(): EngineRates {
    return this.#learned ?? INITIAL_RATES;
  }

  /** Learned pace; undefined if rates aren't learned. */
  get pace(): ServerPace | undefined {
    return this.#pace;
  }

  /** @param learned Learned rates that apply from now on; undefined if they aren't learned. */
  use(learned: ServiceRates | undefined): void {
    if (learned === this.#learned || this.#isEnded) return;
    this.#learned = learned;
    this.#pace = learned?.createPace();
  }

  /** Ends learning, as the server was removed or has restarted; its last answers may still arrive. */
  end(): void {
    this.#isEnded = true;
    if (this.#pace) this.#learned?.remove(this.#pace);
  }

  /**
   * @param nowMs Current time.
   * @returns Time that the server takes, as a multiple of the time by {@link ServerTimes.rates}.
   */
  factor(nowMs: number): number {
    return this.#pace?.factor(nowMs) ?? this.#health.slowness(nowMs);
  }

  /**
   * Learns from an answer, if rates are learned.
   *
   * @param sample The work when the request was sent, and the time until the answer started.
   * @param nowMs Current time.
   */
  record(sample: RateSample, nowMs: number): void {
    if (!this.#learned || !this.#pace || this.#isEnded) return;
    this.#learned.record(sample, { pace: this.#pace, nowMs });
    this.onSample();
  }

  /**
   * @param nowMs Current time.
   * @returns This entry's samples since the last call, relative to its median pace; undefined if there
   *   are none.
   */
  takeUnsentSamples(nowMs: number): PaceSums | undefined {
    const sums = this.#pace?.takeUnsentSamples(nowMs);
    const reference = this.#learned?.referenceFactor(nowMs) ?? 1;
    return sums && { ...sums, factor: sums.factor / reference };
  }

  /**
   * Learns from answers that another entry received, if rates are learned.
   *
   * @param sums The other entry's samples, relative to its median pace.
   * @param nowMs Current time.
   */
  merge(sums: PaceSums, nowMs: number): void {
    if (!this.#learned || !this.#pace || this.#isEnded) return;
    const factor = sums.factor * this.#learned.referenceFactor(nowMs);
    this.#pace.merge({ ...sums, factor }, nowMs);
  }
}
