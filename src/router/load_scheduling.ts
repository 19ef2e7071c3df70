/** Admits the requests of each service by priority, and exchanges their demand with other entries. */
import type { Clock, Metrics } from "../base/mod.ts";
import {
  type DemandRow,
  DemandTable,
  type HeldRequests,
  type OfferedRequest,
  type Permit,
  ServiceScheduler,
  type ServiceScheduleState,
  type Ticket,
} from "../scheduling/mod.ts";
import { AdmissionMetrics, AdmissionOutcome } from "./admission_metrics.ts";
import type { Fleet } from "./fleet.ts";
import {
  admittedOf,
  admittedSince,
  RecentAdmissions,
} from "./recent_admissions.ts";
import { RefusalReason } from "./refusal_reason.ts";
import type { AnswerSink, RoutedRequest, ServeResult } from "./request.ts";
import type { RoutingTable } from "./routing_table.ts";
import { serviceRoom } from "./service_room.ts";
import { AdmissionMode } from "./settings.ts";

/** Interval at which waiting requests are checked. */
const TICK_MS = 20;
/** How long the room of a service is used; computing it reads all servers. */
const ROOM_TTL_MS = 100;
/** Time that a request stays admitted, until it is measured. */
const INITIAL_CALL_MS = 60;
const INITIAL_PROMPT_MS = 150;
const FORCED = { kind: "admitted" } as const;

/** Options of {@link LoadScheduling}. */
export interface LoadSchedulingOptions {
  clock: Clock;
  metrics: Metrics;
  /** Random number from 0 to 1. */
  random: () => number;
  fleet: Pick<Fleet, "accepting">;
  /** The configuration in force. */
  table(): RoutingTable | undefined;
  /** Number of entries that may be alive, this one included. */
  entryCount(): number;
  /** Delay with which entries learn of freed room. */
  gossipIntervalMs(): number;
  /** End of the grace time of a shutdown; infinite until one begins. */
  drainEndMs(): number;
  admission: AdmissionMode;
  priorityFloor: number;
}

/** Whether a request may be sent. */
export type Entrance =
  & (
    /** `release` returns the room; further calls have no effect. */
    | { kind: "admitted"; release(): void }
    | { kind: "refused"; reason: RefusalReason; retryAfterMs: number }
    /** The client disconnected while the request waited. */
    | { kind: "gone" }
  )
  & Pick<ServeResult, "waitedMs" | "admittedMeanwhile">;

interface ScheduledService {
  scheduler: ServiceScheduler;
  recent: RecentAdmissions;
}

/** Load scheduling of all services at this entry. */
export class LoadScheduling {
  readonly #options: LoadSchedulingOptions;
  readonly #table = DemandTable.create();
  readonly #services = new Map<string, ScheduledService>();
  readonly #held: HeldRequests = { count: 0, bytes: 0 };
  readonly #metrics: AdmissionMetrics;
  readonly #startedAtMs: number;
  #isTicking = false;
  #rows: DemandRow[] | undefined;
  #rowsAtMs = -Infinity;

  private constructor(options: LoadSchedulingOptions) {
    this.#options = options;
    this.#metrics = AdmissionMetrics.create(options.metrics);
    this.#startedAtMs = options.clock.nowMs();
  }

  /**
   * @param options Settings, servers and configuration.
   * @returns Scheduling without requests.
   */
  static create(options: LoadSchedulingOptions): LoadScheduling {
    return new LoadScheduling(options);
  }

  /** Whether requests are admitted by their priority. */
  get isOn(): boolean {
    return this.#options.admission === AdmissionMode.auto;
  }

  /**
   * @param service Name of a service.
   * @returns Whether it has less room than its requests demand.
   */
  isDivided(service: string): boolean {
    return this.#services.get(service)?.scheduler.isFree === false;
  }

  /**
   * Obtains room for a request; resolves when it is decided whether it gets any.
   *
   * @param request A request before its first send, while {@link LoadScheduling.isOn}.
   * @param sink Its client; a request whose client has disconnected waits no longer.
   * @returns Whether it may be sent.
   */
  enter(
    request: RoutedRequest,
    sink: AnswerSink,
  ): Entrance | Promise<Entrance> {
    const { service } = request;
    const nowMs = this.#options.clock.nowMs();
    const { scheduler, recent } = this.#serviceOf(service, nowMs);
    const offered = this.#isEngine(service)
      ? offeredPrompt(request, this.#outputMs(request))
      : offeredCall(request);
    // Its client has a part of the answer, which it would lose.
    const offer = request.facts.lastEventId === undefined
      ? scheduler.offer(offered, nowMs)
      : { ...FORCED, permit: scheduler.force(offered, nowMs) };
    switch (offer.kind) {
      case "admitted": {
        const { free, allowed } = AdmissionOutcome;
        this.#count(request, scheduler.isFree ? free : allowed);
        return this.#admitted(scheduler, offer.permit);
      }
      case "refused": {
        this.#count(request, AdmissionOutcome.noRoom);
        const { retryAfterMs } = offer;
        return {
          kind: "refused",
          reason: RefusalReason.noRoom,
          retryAfterMs,
          admittedMeanwhile: recent.until(scheduler.counts, nowMs),
        };
      }
      case "waiting":
        void this.#tickWhileWaiting();
        return this.#wait(request, sink, { scheduler, ticket: offer.ticket });
    }
  }

  /** @returns Demand of this entry, for the other entries. */
  rows(): DemandRow[] | undefined {
    const nowMs = this.#options.clock.nowMs();
    // Asked for more often than datagrams are sent.
    const ttlMs = this.#options.gossipIntervalMs() / 2;
    if (nowMs - this.#rowsAtMs < ttlMs) return this.#rows;
    this.#rowsAtMs = nowMs;
    this.#rows = this.#computeRows(nowMs);
    return this.#rows;
  }

  #computeRows(nowMs: number): DemandRow[] | undefined {
    const rows: DemandRow[] = [];
    for (const { scheduler } of this.#services.values()) {
      rows.push(...scheduler.rows(nowMs));
    }
    return rows.length > 0 ? rows : undefined;
  }

  /**
   * @param peer Address of another entry.
   * @param rows Its demand.
   */
  applyRows(peer: string, rows: readonly DemandRow[]): void {
    this.#table.apply(peer, rows, this.#options.clock.nowMs());
  }

  /** @returns State of all services that have had requests. */
  state(): ServiceScheduleState[] {
    const nowMs = this.#options.clock.nowMs();
    return [...this.#services.values()].map(({ scheduler }) =>
      scheduler.state(nowMs)
    );
  }

  #wait(
    request: RoutedRequest,
    sink: AnswerSink,
    { scheduler, ticket }: { scheduler: ServiceScheduler; ticket: Ticket },
  ): Promise<Entrance> {
    const { clock } = this.#options;
    const startMs = clock.nowMs();
    const before = admittedOf(scheduler.counts);
    const describe = () => ({
      waitedMs: clock.nowMs() - startMs,
      admittedMeanwhile: admittedSince(scheduler.counts, before),
    });
    return new Promise((resolve) => {
      sink.onGone(() => {
        if (ticket.settlement) return;
        scheduler.withdraw(ticket);
        resolve({ kind: "gone", ...describe() });
      });
      ticket.onSettled((settlement) => {
        const wait = describe();
        this.#metrics.waited(request.service, wait.waitedMs);
        switch (settlement.kind) {
          case "admitted":
            this.#count(request, AdmissionOutcome.waited);
            resolve({
              ...this.#admitted(scheduler, settlement.permit),
              ...wait,
            });
            return;
          case "refused":
            this.#count(request, AdmissionOutcome.waitEnded);
            resolve({ ...settlement, reason: RefusalReason.waited, ...wait });
        }
      });
    });
  }

  #count(
    { service, rank }: RoutedRequest,
    outcome: AdmissionOutcome,
  ): void {
    this.#metrics.count({ service, priority: rank, outcome });
  }

  #admitted(
    scheduler: ServiceScheduler,
    permit: Permit,
  ): Extract<Entrance, { kind: "admitted" }> {
    let isHeld = true;
    const release = () => {
      if (!isHeld) return;
      isHeld = false;
      scheduler.release(permit, this.#options.clock.nowMs());
    };
    return { kind: "admitted", release };
  }

  /** Runs while requests wait; one timer serves all of them. */
  async #tickWhileWaiting(): Promise<void> {
    if (this.#isTicking) return;
    this.#isTicking = true;
    const { clock, drainEndMs } = this.#options;
    while (this.#held.count > 0) {
      await clock.sleep(TICK_MS);
      const nowMs = clock.nowMs();
      for (const { scheduler } of this.#services.values()) {
        if (!scheduler.isWaiting) continue;
        if (nowMs >= drainEndMs()) scheduler.refuseAll(nowMs);
        else scheduler.tick(nowMs);
      }
    }
    this.#isTicking = false;
  }

  #serviceOf(service: string, nowMs: number): ScheduledService {
    let known = this.#services.get(service);
    if (!known) {
      const scheduler = this.#createScheduler(service, nowMs);
      known = { scheduler, recent: RecentAdmissions.create() };
      this.#services.set(service, known);
    }
    return known;
  }

  #createScheduler(service: string, nowMs: number): ServiceScheduler {
    const { random, priorityFloor, entryCount, drainEndMs } = this.#options;
    const isEngine = this.#isEngine(service);
    return ServiceScheduler.create({
      service,
      random,
      floorShare: priorityFloor,
      holdMs: isEngine ? INITIAL_PROMPT_MS : INITIAL_CALL_MS,
      held: this.#held,
      table: this.#table,
      room: this.#roomOf(service),
      entryCount,
      startedAtMs: this.#startedAtMs,
      reportIntervalMs: this.#options.gossipIntervalMs,
      endAtMs: drainEndMs,
      nowMs,
    });
  }

  /** Time of an engine's answer after its first token; other servers hold room until its end. */
  #outputMs({ service, facts }: RoutedRequest): number {
    const [server] = this.#options.fleet.accepting(service);
    const tokens = facts.prompt?.outputTokens ?? 0;
    return server?.outputTimes.learnedMs(tokens) ?? 0;
  }

  #isEngine(service: string): boolean {
    return this.#options.table()?.findService(service)?.engine !== undefined;
  }

  #roomOf(service: string): (nowMs: number) => number {
    const { fleet, gossipIntervalMs } = this.#options;
    let room = 0;
    let computedAtMs = -Infinity;
    return (nowMs) => {
      if (nowMs - computedAtMs < ROOM_TTL_MS) return room;
      computedAtMs = nowMs;
      const promptTokens = this.#services.get(service)?.scheduler.meanUnits;
      const engines = this.#isEngine(service)
        ? { reportDelayMs: gossipIntervalMs(), promptTokens: promptTokens ?? 1 }
        : undefined;
      room = serviceRoom(fleet.accepting(service), { nowMs, engines });
      return room;
    };
  }
}

/** An engine's room is counted in tokens; other requests share all parts of a prompt but the last. */
function offeredPrompt(
  request: RoutedRequest,
  outputMs: number,
): OfferedRequest {
  const { prompt } = request.facts;
  const ownTokens = prompt?.parts.at(-1)?.tokens ?? prompt?.promptTokens;
  const units = Math.max(1, ownTokens ?? 1);
  return { ...offeredCall(request), units, outputMs };
}

function offeredCall(
  { rank, workspace, answerByMs, body }: RoutedRequest,
): OfferedRequest {
  return {
    priority: rank,
    workspace: workspace?.name ?? "",
    units: 1,
    deadlineAtMs: answerByMs,
    outputMs: 0,
    bodyBytes: body?.length ?? 0,
  };
}
