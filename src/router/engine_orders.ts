/** Gives one engine the order for weights that it lacks, and waits until it has them. */
import type { Clock, Logger } from "../base/mod.ts";
import type { FencedLease } from "../lease/mod.ts";
import { fetchReport, type OrderAnswer, sendOrder } from "../platform/mod.ts";
import type { Fleet } from "./fleet.ts";
import { isSameStart, type ServerReport, type WantedWeights } from "./model.ts";
import type { Server } from "./server.ts";
import type { OrderRecords } from "./order_records.ts";
import type { WantedVersions } from "./wanted_weights.ts";

/** Pause between looks at whether a registration told of the weights. */
const LOOK_MS = 50;
/** Time for one call to an engine; the lease must last as long for an order. */
export const CALL_MS = 500;
/** No engine has loaded by then: loads take 760 ms. */
const FIRST_REPORT_MS = 750;
/** Pause between reports of an engine that loads; they lag by some hundred ms. */
const REPORT_MS = 200;
/** Orders that an engine gets one after the other while none is answered. */
const MAX_ORDERS = 4;
/**
 * An engine that loads, or waits for its runs, is waited for this long: no run lasts longer than
 * the routes' 15 s. One that forgot its order, or is silent, is noticed by its reports.
 */
const ORDER_MS = 15_000;

/** Calls to engines. */
export interface EngineCalls {
  fetchReport: typeof fetchReport;
  sendOrder: typeof sendOrder;
}

/** The platform's own. */
export const PLATFORM_CALLS: EngineCalls = { fetchReport, sendOrder };

/** What {@link EngineOrders} work with. */
export interface EngineOrdersOptions {
  clock: Clock;
  calls: EngineCalls;
  log: Logger;
  fleet: Fleet;
  holderId: string;
  /** The lease under which orders are given, while it is held. */
  lease(): FencedLease | undefined;
  /** Each order is recorded before it is given. */
  records: OrderRecords;
  /** An engine has seen a higher number. */
  onFenced(): Promise<void>;
  /** Weights were seen at a server; other entries are told. */
  onWeights(server: Server, model: string, version: number): void;
  /** Weights that the operator wants. */
  wanted: WantedVersions;
}

/** What became of an order. */
type OrderOutcome =
  | OrderAnswer["kind"]
  | "no_answer"
  | "not_holder"
  /** Nothing was sent: the store did not take the record. */
  | "not_recorded";

/** Orders to engines. */
export class EngineOrders {
  readonly #options: EngineOrdersOptions;
  #underWay = 0;

  private constructor(options: EngineOrdersOptions) {
    this.#options = options;
  }

  /**
   * @param options Lease and helpers.
   * @returns Orders, of which none is under way.
   */
  static create(options: EngineOrdersOptions): EngineOrders {
    return new EngineOrders(options);
  }

  /** Engines that load, or are about to. */
  get underWay(): number {
    return this.#underWay;
  }

  /**
   * Orders weights until the engine has them, or there is nothing more to do for now.
   *
   * @param server The engine.
   * @param target What it is to load.
   * @param options Ends the work.
   */
  async load(
    server: Server,
    target: WantedWeights,
    { signal }: { signal: AbortSignal },
  ): Promise<void> {
    this.#underWay++;
    try {
      for (let i = 0; i < MAX_ORDERS && !signal.aborted; i++) {
        if (!this.#options.fleet.has(server)) return;
        const isSettled = await this.#loadOnce(server, target, { signal });
        if (isSettled) return;
      }
    } finally {
      this.#underWay--;
    }
  }

  /** @returns Whether there is nothing more to do for now. */
  async #loadOnce(
    server: Server,
    target: WantedWeights,
    { signal }: { signal: AbortSignal },
  ): Promise<boolean> {
    const { calls } = this.#options;
    const report = await calls.fetchReport(server.entry, CALL_MS);
    if (report.isErr) {
      this.#unheard(server, report.error.kind);
      return true;
    }
    if (this.#isVoid(server, report.value)) return true;
    if (this.#has(server, target, report.value)) return true;
    if (report.value.busy) {
      return this.#awaitWeights(server, target, { signal });
    }
    const said = await this.#order(server, target, {
      orderSequence: report.value.orderSequence,
    });
    return this.#settle(server, target, { signal, said });
  }

  async #order(
    server: Server,
    target: WantedWeights,
    { orderSequence }: { orderSequence: number },
  ): Promise<OrderOutcome> {
    const { holderId, log, calls, wanted, records } = this.#options;
    const lease = this.#options.lease();
    if (!lease?.isHeldFor(CALL_MS)) return "not_holder";
    // Taken out under a former lease, another holder may have ordered it since.
    if (records.orderedByOthers().has(server.id)) return "not_holder";
    if (!await records.record(server.id, lease)) return "not_recorded";
    if (!lease.isHeldFor(CALL_MS)) return "not_holder";
    const has = server.weights(target.model) ?? target.version;
    const replacedMs = wanted.replacedForMs(target.model, has);
    const answer = await calls.sendOrder(server.entry, {
      ...target,
      runs: "finish",
      holderId,
      fencingNumber: lease.fencingNumber,
      orderSequence,
    }, { callMs: CALL_MS });
    const said = answer.isOk ? answer.value.kind : "no_answer";
    log.info({
      event: "weights_ordered",
      server: server.id,
      version: target.version,
      sequence: orderSequence,
      answer: said,
      replacedMs: Math.round(replacedMs),
    });
    return said;
  }

  async #settle(
    server: Server,
    target: WantedWeights,
    { signal, said }: { signal: AbortSignal; said: OrderOutcome },
  ): Promise<boolean> {
    switch (said) {
      case "accepted":
        return this.#awaitWeights(server, target, { signal });
      case "holds":
        this.#saw(server, target.model, target.version);
        return true;
      case "no_answer":
      case "conflict":
        // Whether it was accepted shows in the next report. Ordering again is safe: both name the
        // same sequence, so the engine takes only one of them.
        return false;
      case "fenced":
        await this.#options.onFenced();
        return true;
      case "wrong_server":
        this.#options.fleet.giveUp(server);
        return true;
      case "refused":
      case "not_holder":
      case "not_recorded":
        return true;
    }
  }

  /** @returns Whether there is nothing more to do for now; not if the engine forgot its order. */
  async #awaitWeights(
    server: Server,
    target: WantedWeights,
    { signal }: { signal: AbortSignal },
  ): Promise<boolean> {
    const { clock, calls } = this.#options;
    const untilMs = clock.nowMs() + ORDER_MS;
    let reportAtMs = clock.nowMs() + FIRST_REPORT_MS;
    while (!signal.aborted && clock.nowMs() < untilMs) {
      await clock.sleep(LOOK_MS, signal);
      // The server's registration may tell before its report does.
      if (!lacks(server, [target])) return true;
      if (!this.#options.fleet.has(server)) return true;
      if (clock.nowMs() < reportAtMs) continue;
      reportAtMs = clock.nowMs() + REPORT_MS;
      const report = await calls.fetchReport(server.entry, CALL_MS);
      if (report.isErr) {
        this.#unheard(server, report.error.kind);
        return true;
      }
      if (this.#isVoid(server, report.value)) return true;
      if (this.#has(server, target, report.value)) return true;
      if (!report.value.busy) return false;
    }
    return true;
  }

  /**
   * An order is meant for one start of its engine: the count of orders that it names is that start's.
   * A report of a newer start than is registered makes that start known, as its registration will;
   * an engine that doesn't reach the store is ordered no later for that.
   *
   * @returns Whether the report, or what is known by now, is of another start.
   */
  #isVoid(server: Server, { bornAtMs, weights }: ServerReport): boolean {
    const { fleet, log } = this.#options;
    if (!fleet.has(server)) return true;
    if (isSameStart(bornAtMs, server.entry)) return false;
    log.info({
      event: "order_void",
      server: server.id,
      bornAtMs,
      knownBornAtMs: server.entry.bornAtMs,
    });
    fleet.put({ ...server.entry, bornAtMs, weights });
    return true;
  }

  #has(server: Server, target: WantedWeights, report: ServerReport): boolean {
    for (const [model, version] of report.weights) {
      this.#saw(server, model, version);
    }
    return !lacks(server, [target]);
  }

  #saw(server: Server, model: string, version: number): void {
    if (!server.learnWeights(model, version)) return;
    this.#options.onWeights(server, model, version);
    this.#options.log.info({
      event: "weights_seen",
      server: server.id,
      version,
    });
  }

  #unheard(server: Server, failure: string): void {
    const { clock, log } = this.#options;
    if (failure === "unreachable") server.health.unreachable(clock.nowMs());
    log.warn({ event: "engine_unheard", server: server.id, failure });
  }
}

/**
 * @param server An engine.
 * @param wanted Weights that are to be used.
 * @returns Whether it has older ones.
 */
export function lacks(server: Server, wanted: WantedWeights[]): boolean {
  return wanted.some(({ model, version }) => {
    const has = server.weights(model);
    return has !== undefined && has < version;
  });
}
