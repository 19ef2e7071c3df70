/** Orders one engine to load newer weights and waits until it has loaded them. */
import type { Clock, Logger } from "../base/mod.ts";
import type { FencedLease } from "../lease/mod.ts";
import { fetchReport, type OrderAnswer, sendOrder } from "../platform/mod.ts";
import type { Fleet } from "./fleet.ts";
import {
  isSameIncarnation,
  type ServerReport,
  type WantedWeights,
} from "./model.ts";
import type { Server } from "./server.ts";
import type { OrderRecords } from "./order_records.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Interval of checks whether an engine's registration shows the new weights. */
const POLL_INTERVAL_MS = 50;
/** Timeout of one call to an engine. An order is sent only if the lease is valid for this long. */
export const CALL_TIMEOUT_MS = 500;
/** Delay of the first report after an order. A load takes 760 ms, so none has finished before. */
const FIRST_REPORT_DELAY_MS = 750;
/** Interval of reports while an engine loads; reports lag by a few hundred ms. */
const REPORT_INTERVAL_MS = 200;
/** Maximum number of consecutive attempts to order one engine. */
const MAX_ATTEMPTS = 4;
/**
 * Maximum time to wait for an engine that loads or waits for its runs to end: the routes limit runs
 * to 15 s. An engine that lost its order or does not answer is detected earlier, by its reports.
 */
const LOAD_TIMEOUT_MS = 15_000;

/** Calls to engines; tests replace them. */
export interface EngineCalls {
  fetchReport: typeof fetchReport;
  sendOrder: typeof sendOrder;
}

/** The calls of the platform's API. */
export const PLATFORM_CALLS: EngineCalls = { fetchReport, sendOrder };

/** Dependencies of {@link EngineOrders}. */
export interface EngineOrdersOptions {
  clock: Clock;
  calls: EngineCalls;
  log: Logger;
  fleet: Fleet;
  holderId: string;
  /** The lease that permits orders; undefined while this entry may not order. */
  lease(): FencedLease | undefined;
  /** Stores each order before it is sent. */
  records: OrderRecords;
  /** Called when an engine has seen a higher fencing number. */
  onFenced(): Promise<void>;
  /** Called when a server is seen with newer weights, so that other entries can be notified. */
  onWeightsSeen(server: Server, model: string, version: number): void;
  /** Versions that the operator published. */
  wanted: WantedVersions;
}

/** Result of an order. */
type OrderOutcome =
  | OrderAnswer["kind"]
  | "no_answer"
  | "not_holder"
  /** The order was not sent because its record could not be stored. */
  | "not_recorded";

/** Sends weights orders to engines and tracks their progress. */
export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  #inFlight = 0;

  private constructor(options: EngineOrdersOptions) {
    this.#options = options;
  }

  /**
   * @param options Lease, records and calls.
   * @returns An instance without orders in flight.
   */
  static create(options: EngineOrdersOptions): EngineOrders {
    return new EngineOrders(options);
  }

  /** Number of engines that load or are about to. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Orders weights, with retries, until the engine has them or further retries are pointless for
   * now.
   *
   * @param server The engine.
   * @param target Weights to load.
   * @param options Signal that aborts the work.
   */
  async load(
    server: Server,
    target: WantedWeights,
    { signal }: { signal: AbortSignal },
  ): Promise<void> {
    this.#inFlight++;
    try {
      for (let i = 0; i < MAX_ATTEMPTS && !signal.aborted; i++) {
        if (!this.#options.fleet.has(server)) return;
        const isSettled = await this.#tryLoad(server, target, { signal });
        if (isSettled) return;
      }
    } finally {
      this.#inFlight--;
    }
  }

  /** @returns False if the order should be retried at once. */
  async #tryLoad(
    server: Server,
    target: WantedWeights,
    { signal }: { signal: AbortSignal },
  ): Promise<boolean> {
    const { calls } = this.#options;
    const report = await calls.fetchReport(server.entry, CALL_TIMEOUT_MS);
    if (report.isErr) {
      this.#recordFailedReport(server, report.error.kind);
      return true;
    }
    if (this.#detectRestart(server, report.value)) return true;
    if (this.#hasLoaded(server, target, report.value)) return true;
    if (report.value.busy) {
      return this.#awaitWeights(server, target, { signal });
    }
    const outcome = await this.#sendOrder(server, target, {
      orderSequence: report.value.orderSequence,
    });
    return this.#handleOutcome(server, target, { signal, outcome });
  }

  async #sendOrder(
    server: Server,
    target: WantedWeights,
    { orderSequence }: { orderSequence: number },
  ): Promise<OrderOutcome> {
    const { holderId, log, calls, wanted, records } = this.#options;
    const lease = this.#options.lease();
    if (!lease?.isHeldFor(CALL_TIMEOUT_MS)) return "not_holder";
    // The engine may have been held back under an earlier lease and ordered by another holder
    // since.
    if (records.orderedByOthers().has(server.id)) return "not_holder";
    if (!await records.record(server.id, lease)) return "not_recorded";
    if (!lease.isHeldFor(CALL_TIMEOUT_MS)) return "not_holder";
    const loadedVersion = server.weights(target.model) ?? target.version;
    const replacedMs = wanted.replacedForMs(target.model, loadedVersion);
    const answer = await calls.sendOrder(server.entry, {
      ...target,
      runs: "finish",
      holderId,
      fencingNumber: lease.fencingNumber,
      orderSequence,
    }, { callMs: CALL_TIMEOUT_MS });
    const outcome = answer.isOk ? answer.value.kind : "no_answer";
    log.info({
      event: "weights_ordered",
      server: server.id,
      version: target.version,
      sequence: orderSequence,
      answer: outcome,
      replacedMs: Math.round(replacedMs),
    });
    return outcome;
  }

  async #handleOutcome(
    server: Server,
    target: WantedWeights,
    { signal, outcome }: { signal: AbortSignal; outcome: OrderOutcome },
  ): Promise<boolean> {
    switch (outcome) {
      case "accepted":
        return this.#awaitWeights(server, target, { signal });
      case "holds":
        this.#recordWeights(server, target.model, target.version);
        return true;
      case "no_answer":
      case "conflict":
        // The next report shows whether the order was accepted. A retry is safe: both orders carry
        // the same sequence number, so the engine accepts only one of them.
        return false;
      case "fenced":
        await this.#options.onFenced();
        return true;
      case "wrong_server":
        this.#options.fleet.dropReplaced(server);
        return true;
      case "refused":
      case "not_holder":
      case "not_recorded":
        return true;
    }
  }

  /** @returns False if the engine lost its order, which should then be retried at once. */
  async #awaitWeights(
    server: Server,
    target: WantedWeights,
    { signal }: { signal: AbortSignal },
  ): Promise<boolean> {
    const { clock, calls } = this.#options;
    const deadlineMs = clock.nowMs() + LOAD_TIMEOUT_MS;
    let nextReportAtMs = clock.nowMs() + FIRST_REPORT_DELAY_MS;
    while (!signal.aborted && clock.nowMs() < deadlineMs) {
      await clock.sleep(POLL_INTERVAL_MS, signal);
      // The server's registration may show the new weights before its report does.
      if (!isOutdated(server, [target])) return true;
      if (!this.#options.fleet.has(server)) return true;
      if (clock.nowMs() < nextReportAtMs) continue;
      nextReportAtMs = clock.nowMs() + REPORT_INTERVAL_MS;
      const report = await calls.fetchReport(server.entry, CALL_TIMEOUT_MS);
      if (report.isErr) {
        this.#recordFailedReport(server, report.error.kind);
        return true;
      }
      if (this.#detectRestart(server, report.value)) return true;
      if (this.#hasLoaded(server, target, report.value)) return true;
      if (!report.value.busy) return false;
    }
    return true;
  }

  /**
   * Detects that an engine has restarted. An order is valid for one incarnation of its engine,
   * since it carries that incarnation's order count. If a report comes from an incarnation that is
   * not registered yet, the fleet is updated from the report, so that an engine that can't reach
   * the store is ordered without delay.
   *
   * @returns Whether the server was replaced, or the report comes from another incarnation.
   */
  #detectRestart(server: Server, { bornAtMs, weights }: ServerReport): boolean {
    const { fleet, log } = this.#options;
    if (!fleet.has(server)) return true;
    if (isSameIncarnation(bornAtMs, server.entry)) return false;
    log.info({
      event: "order_void",
      server: server.id,
      bornAtMs,
      knownBornAtMs: server.entry.bornAtMs,
    });
    const isVersionAssumed = true;
    fleet.put({ ...server.entry, bornAtMs, weights, isVersionAssumed });
    return true;
  }

  /** Learns the reported versions, and returns whether the engine has the target version. */
  #hasLoaded(
    server: Server,
    target: WantedWeights,
    report: ServerReport,
  ): boolean {
    for (const [model, version] of report.weights) {
      this.#recordWeights(server, model, version);
    }
    return !isOutdated(server, [target]);
  }

  #recordWeights(server: Server, model: string, version: number): void {
    if (!server.recordWeights(model, version)) return;
    this.#options.onWeightsSeen(server, model, version);
    this.#options.log.info({
      event: "weights_seen",
      server: server.id,
      version,
    });
  }

  #recordFailedReport(server: Server, failure: string): void {
    const { clock, log } = this.#options;
    if (failure === "unreachable") server.health.unreachable(clock.nowMs());
    log.warn({ event: "engine_unheard", server: server.id, failure });
  }
}

/**
 * @param server An engine.
 * @param wanted Current versions of the weights.
 * @returns Whether the engine has an older version of any of them.
 */
export function isOutdated(server: Server, wanted: WantedWeights[]): boolean {
  return wanted.some(({ model, version }) => {
    const has = server.weights(model);
    return has !== undefined && has < version;
  });
}
