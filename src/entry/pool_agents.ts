/** A planner's access to the agents of its pool: reads their reports and sends them orders. */
import { Result } from "true-myth";
import type { Clock } from "../base/mod.ts";
import {
  type DemandMeter,
  type OrderOutcome,
  type PlannedOrder,
  type PoolView,
  type Replica,
  ReplicaState,
  type ServerView,
  toOrderRequest,
  type ViewFailure,
} from "../planner/mod.ts";
import {
  type ModelsReport,
  type OrderReply,
  type OrderRequest,
  ReplicaPhase,
  type ReplicaReport,
  type ReportModelsRequest,
} from "../wire/gen/cicadahitch.ts";
import { type CallFailure, callUnary, type ChannelPool } from "../wire/mod.ts";
import type { Members, ServerMember } from "./members.ts";

/** Dependencies and settings of {@link PoolAgents}. */
export interface PoolAgentsOptions {
  pool: string;
  members: Members;
  channels: ChannelPool;
  demand: DemandMeter;
  clock: Clock;
  orderTimeoutMs: number;
}

const REPORT_TIMEOUT_MS = 1000;
const MAX_CONCURRENT_REPORTS = 32;

/** Access to the agents of one pool. */
export class PoolAgents {
  readonly #options: PoolAgentsOptions;
  /** Latest report and its time, by instance id; kept while the agent does not answer. */
  readonly #reports = new Map<string, { view: ServerView; atMs: number }>();

  private constructor(options: PoolAgentsOptions) {
    this.#options = options;
  }

  /**
   * @param options Dependencies and settings.
   * @returns An instance without reports.
   */
  static create(options: PoolAgentsOptions): PoolAgents {
    return new PoolAgents(options);
  }

  /**
   * Requests a report from every agent of the pool.
   *
   * @param signal Cancels the requests.
   * @returns The pool with each agent's latest report; a failure if there is no report at all.
   */
  async readView(signal: AbortSignal): Promise<Result<PoolView, ViewFailure>> {
    const { members, pool, clock, demand } = this.#options;
    const asked = members.pool(pool).members;
    for (let from = 0; from < asked.length; from += MAX_CONCURRENT_REPORTS) {
      const batch = asked.slice(from, from + MAX_CONCURRENT_REPORTS);
      await Promise.all(
        batch.map((member) => this.#fetchReport(member, signal)),
      );
    }
    this.#removeOtherReports(asked);
    if (this.#reports.size === 0) {
      return Result.err({ kind: "unavailable", message: "No agent answered" });
    }
    const nowMs = clock.nowMs();
    const servers = [...this.#reports.values()]
      .map(({ view, atMs }) => ({ ...view, ageMs: nowMs - atMs }));
    const entryCount = Math.max(1, members.entryIds.length);
    return Result.ok({ servers, unserved: demand.unserved(entryCount) });
  }

  /**
   * @param order The order to send.
   * @param signal Cancels the call.
   * @returns The agent's answer, or how the call failed.
   */
  async sendOrder(
    order: PlannedOrder,
    signal: AbortSignal,
  ): Promise<OrderOutcome> {
    const { channels, orderTimeoutMs } = this.#options;
    const lease = channels.acquire(order.move.address);
    const reply = await callUnary<OrderRequest, OrderReply>(
      lease.agent.order.bind(lease.agent),
      toOrderRequest(order),
      { timeoutMs: orderTimeoutMs, signal },
    );
    lease.release();
    return reply.match({
      Ok: (answer) => outcomeOf(answer, order.fencingNumber),
      Err: outcomeOfFailure,
    });
  }

  async #fetchReport(member: ServerMember, signal: AbortSignal): Promise<void> {
    const { channels, clock } = this.#options;
    const lease = channels.acquire(member.address);
    const atMs = clock.nowMs();
    const answer = await callUnary<ReportModelsRequest, ModelsReport>(
      lease.agent.reportModels.bind(lease.agent),
      {},
      { timeoutMs: REPORT_TIMEOUT_MS, signal },
    );
    lease.release();
    if (answer.isErr) return;
    this.#reports.set(member.id, { view: viewOf(member, answer.value), atMs });
  }

  #removeOtherReports(asked: readonly ServerMember[]): void {
    const ids = new Set(asked.map(({ id }) => id));
    for (const id of this.#reports.keys()) {
      if (!ids.has(id)) this.#reports.delete(id);
    }
  }
}

function viewOf(
  { id, address, zone }: ServerMember,
  { leaving, slots, maxRunning, replicas }: ModelsReport,
): ServerView {
  return {
    serverId: id,
    address,
    zone,
    leaving,
    ageMs: 0,
    slots,
    maxRunning,
    replicas: replicas.map(replicaOf),
  };
}

function replicaOf(report: ReplicaReport): Replica {
  const { model, adapter, weightsVersion, inFlight } = report;
  return {
    model: { model, adapter, weightsVersion },
    state: stateOf(report.phase),
    inFlight,
  };
}

function stateOf(phase: ReplicaPhase): ReplicaState {
  switch (phase) {
    case ReplicaPhase.LOADING:
      return ReplicaState.Loading;
    case ReplicaPhase.READY:
      return ReplicaState.Ready;
    case ReplicaPhase.UNLOADING:
    case ReplicaPhase.UNSPECIFIED:
      return ReplicaState.Unloading;
  }
}

function outcomeOf(reply: OrderReply, fencingNumber: bigint): OrderOutcome {
  const { accepted, message, highestFencingNumber, retryAfterMs = 0 } = reply;
  if (accepted) return { kind: "accepted" };
  if (highestFencingNumber > fencingNumber) {
    return { kind: "fenced", highestFencingNumber };
  }
  if (retryAfterMs > 0) return { kind: "rate_limited", retryAfterMs };
  return { kind: "refused", message };
}

function outcomeOfFailure({ kind, message }: CallFailure): OrderOutcome {
  switch (kind) {
    case "unreachable":
    case "rejected":
      return { kind: "refused", message };
    case "timeout":
    case "broken":
      return { kind: "unknown", message };
  }
}
