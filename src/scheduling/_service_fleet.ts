/** Simulates entries that schedule the requests of one plain service, in virtual time. */
import { poisson, seededRandom } from "../base/random.ts";
import { gossipIntervalFor, jittered } from "../router/gossip_interval.ts";
import { dividedCostMs } from "../router/service_room.ts";
import {
  CAPACITY_PER_MS,
  type Client,
  QUEUE,
  ROOM,
  type Server,
  SERVER_ROOM,
  SERVICE_TIME_JITTER,
  SERVICE_TIMES_MS,
  SLOTS,
  timeOf,
} from "./_simulated_service.ts";
import {
  type LoadStream,
  NO_REQUESTS,
  type SpentShares,
  type StreamResult,
} from "./_load_stream.ts";
import {
  type DemandRow,
  DemandTable,
  type Permit,
  ServiceScheduler,
  type Settlement,
} from "./mod.ts";

/** Settings of a {@link ServiceFleet}. */
export interface ServiceFleetOptions {
  entryCount: number;
  seed: number;
  /** How often clients come back after a refusal. */
  clientRetries?: number;
}

interface Entry {
  address: string;
  isUp: boolean;
  /** Entries in different partitions get no datagrams of each other. */
  partition: number;
  /** Relative weight of this entry's part of the load. */
  weight: number;
  table: DemandTable;
  scheduler: ServiceScheduler;
  nextReportMs: number;
  /** Requests in flight by server: own, and as the other entries reported. */
  own: number[];
  peers: Map<string, number[]>;
}

const SERVICE = "plain";
const TARGET_MS = 300;
const LOSS_RATE = 0.03;
const MAX_DELAY_MS = 20;
const TICK_MS = 20;
/** How long the load that an entry reported counts, as in the router. */
const LOAD_TTL_MS = 1500;
/** How long a killed entry stays registered. */
const REGISTERED_MS = 3000;

/** Simulated entries, servers and clients. */
export class ServiceFleet {
  readonly #options: ServiceFleetOptions;
  readonly #random: () => number;
  readonly entries: Entry[] = [];
  readonly #servers: Server[] = [];
  #events: { atMs: number; run(): void }[] = [];
  #nowMs = 0;
  #killedAtMs = -Infinity;
  /** Time that servers spent on answers before their deadlines, and within their target. */
  #servedWorkMs = 0;
  #inTimeWorkMs = 0;
  readonly #results = new Map<LoadStream, StreamResult>();

  private constructor(options: ServiceFleetOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    for (const serviceMs of SERVICE_TIMES_MS) {
      this.#servers.push({ serviceMs, running: [], queue: [] });
    }
    for (let i = 0; i < options.entryCount; i++) {
      const entry = { address: `entry-${i}`, partition: 0, weight: 1 };
      this.entries.push({ ...entry, ...this.#startEntry() });
    }
  }

  /**
   * @param options Sizes and seed.
   * @returns Entries that have just started.
   */
  static create(options: ServiceFleetOptions): ServiceFleet {
    return new ServiceFleet(options);
  }

  /** Requests that the entries' present processes have admitted and that have not ended. */
  get admitted(): number {
    return this.entries.flatMap(({ own }) => own)
      .reduce((sum, count) => sum + count, 0);
  }

  /** @returns The result of a stream in the last measurement. */
  result(stream: LoadStream): StreamResult {
    const result = this.#results.get(stream) ?? { ...NO_REQUESTS };
    this.#results.set(stream, result);
    return result;
  }

  /** @param entry An entry that ends; its clients come back at other entries. */
  kill(entry: Entry): void {
    entry.isUp = false;
    this.#killedAtMs = this.#nowMs;
    const run = () => {
      for (const other of this.entries) other.peers.delete(entry.address);
    };
    this.#events.push({ atMs: this.#nowMs + LOAD_TTL_MS, run });
  }

  /** @param entry An entry that starts again, without the state that it had. */
  restart(entry: Entry): void {
    Object.assign(entry, this.#startEntry());
  }

  /**
   * @param ms Virtual time to simulate.
   * @param streams The load.
   */
  run(ms: number, streams: readonly LoadStream[]): void {
    const endMs = this.#nowMs + ms;
    while (this.#nowMs < endMs) {
      this.#nowMs++;
      this.#runEvents();
      for (const server of this.#servers) this.#endRequests(server);
      const up = this.entries.filter(({ isUp }) => isUp);
      for (const entry of up) this.#runEntry(entry);
      for (const stream of streams) {
        const mean = stream.load * CAPACITY_PER_MS;
        const count = up.length > 0 ? poisson(mean, this.#random) : 0;
        for (let i = 0; i < count; i++) this.#arrive(stream);
      }
    }
  }

  /**
   * Applies load, and lets the requests end.
   *
   * @param ms Time with load.
   * @param streams The load.
   * @returns Shares of the servers' time with load that were spent on answers in time.
   */
  measure(ms: number, streams: readonly LoadStream[]): SpentShares {
    this.#results.clear();
    this.#servedWorkMs = this.#inTimeWorkMs = 0;
    this.run(ms, streams);
    const slots = SLOTS * this.#servers.length;
    const servedShare = this.#servedWorkMs / slots / ms;
    const inTimeShare = this.#inTimeWorkMs / slots / ms;
    this.run(Math.max(...streams.map(timeOf)), []);
    return { servedShare, inTimeShare };
  }

  #arrive(stream: LoadStream): void {
    const result = this.result(stream);
    result.requests++;
    const retriesLeft = this.#options.clientRetries ?? 1;
    const client = { stream, result, startMs: this.#nowMs, retriesLeft };
    this.#send(client, this.#pickEntry());
  }

  #send(client: Client, entry: Entry | undefined): void {
    if (!entry) return;
    const { stream, startMs } = client;
    const request = {
      priority: stream.priority,
      workspace: stream.workspace,
      units: 1,
      deadlineAtMs: startMs + timeOf(stream),
      outputMs: 0,
      bodyBytes: 0,
    };
    const { scheduler } = entry;
    const offer = scheduler.offer(request, this.#nowMs);
    const offeredMs = this.#nowMs;
    const settle = (settlement: Settlement) => {
      if (entry.scheduler !== scheduler) return;
      switch (settlement.kind) {
        case "admitted":
          return this.#serve(client, entry, settlement.permit);
        case "refused":
          if (this.#nowMs > offeredMs) client.result.waitedRefusals++;
          if (this.#nowMs + SERVICE_TIMES_MS[0]! > request.deadlineAtMs) {
            client.result.lateRefusals++;
          }
          this.#refuse(client, settlement.retryAfterMs);
      }
    };
    if (offer.kind === "waiting") offer.ticket.onSettled(settle);
    else settle(offer);
  }

  #serve(client: Client, entry: Entry, permit: Permit): void {
    const at = this.#chooseServer(entry);
    if (at === undefined) {
      entry.scheduler.release(permit, this.#nowMs);
      return this.#refuse(client, 200);
    }
    const server = this.#servers[at]!;
    const { scheduler, own } = entry;
    own[at]!++;
    const jitter = 1 + SERVICE_TIME_JITTER * (2 * this.#random() - 1);
    const workMs = server.serviceMs * jitter;
    const start = () =>
      server.running.push({
        endMs: this.#nowMs + workMs,
        done: () => {
          own[at]!--;
          if (entry.scheduler !== scheduler || !entry.isUp) return;
          scheduler.release(permit, this.#nowMs);
          this.#answered(client, workMs);
        },
      });
    if (server.running.length < SLOTS) start();
    else server.queue.push(start);
  }

  #answered({ stream, result, startMs }: Client, workMs: number): void {
    const tookMs = this.#nowMs - startMs;
    if (tookMs <= timeOf(stream)) {
      result.served++;
      this.#servedWorkMs += workMs;
    }
    if (tookMs > TARGET_MS) return;
    result.inTime++;
    this.#inTimeWorkMs += workMs;
  }

  #refuse(client: Client, retryAfterMs: number): void {
    client.result.refusals++;
    const atMs = this.#nowMs + Math.max(1, retryAfterMs);
    const endMs = client.startMs + timeOf(client.stream);
    if (client.retriesLeft === 0 || atMs > endMs) return;
    const again = { ...client, retriesLeft: client.retriesLeft - 1 };
    const run = () => this.#send(again, this.#pickEntry());
    this.#events.push({ atMs, run });
  }

  /** The server with the lowest expected time among those that are not full, as the entry knows. */
  #chooseServer({ own, peers, scheduler }: Entry): number | undefined {
    const loadAgeMs = gossipIntervalFor(this.#options.entryCount);
    let best: number | undefined;
    let bestCost = Infinity;
    for (const [i, { serviceMs, queue }] of this.#servers.entries()) {
      if (queue.length >= QUEUE) continue;
      let running = own[i]!;
      for (const loads of peers.values()) running += loads[i]!;
      const queued = Math.max(0, running + 1 - SLOTS);
      const cost = running + this.#random() +
        serviceMs * (1 + queued / SLOTS + running / (10 * SLOTS)) +
        (scheduler.isFree ? 0 : dividedCostMs({
          isOverRoom: running >= SERVER_ROOM,
          loadAgeMs,
          random: this.#random,
        }));
      if (cost >= bestCost) continue;
      best = i;
      bestCost = cost;
    }
    return best;
  }

  #endRequests(server: Server): void {
    const ended = server.running.filter(({ endMs }) => endMs <= this.#nowMs);
    if (ended.length === 0) return;
    server.running = server.running.filter(({ endMs }) => endMs > this.#nowMs);
    for (const _ of ended) server.queue.shift()?.();
    for (const { done } of ended) done();
  }

  #runEvents(): void {
    const due = this.#events.filter(({ atMs }) => atMs <= this.#nowMs);
    if (due.length === 0) return;
    this.#events = this.#events.filter(({ atMs }) => atMs > this.#nowMs);
    for (const { run } of due) run();
  }

  #runEntry(entry: Entry): void {
    if (this.#nowMs % TICK_MS === 0) entry.scheduler.tick(this.#nowMs);
    if (this.#nowMs < entry.nextReportMs) return;
    const intervalMs = gossipIntervalFor(this.#options.entryCount);
    entry.nextReportMs = this.#nowMs + jittered(intervalMs, this.#random);
    const rows = entry.scheduler.rows(this.#nowMs);
    const loads = [...entry.own];
    for (const to of this.entries) {
      const isReachable = to.isUp && to.partition === entry.partition;
      if (to === entry || !isReachable || this.#random() < LOSS_RATE) continue;
      const atMs = this.#nowMs + this.#random() * MAX_DELAY_MS;
      const run = () => this.#receive(to, entry.address, { rows, loads });
      this.#events.push({ atMs, run });
    }
  }

  #receive(
    to: Entry,
    from: string,
    { rows, loads }: { rows: DemandRow[]; loads: number[] },
  ): void {
    to.table.apply(from, rows, this.#nowMs);
    to.peers.set(from, loads);
  }

  #pickEntry(): Entry | undefined {
    const up = this.entries.filter(({ isUp }) => isUp);
    let at = this.#random() * up.reduce((sum, { weight }) => sum + weight, 0);
    return up.find(({ weight }) => (at -= weight) < 0);
  }

  #startEntry(): Omit<Entry, "address" | "partition" | "weight"> {
    const table = DemandTable.create();
    const scheduler = ServiceScheduler.create({
      service: SERVICE,
      random: this.#random,
      floorShare: 0.05,
      holdMs: 60,
      held: { count: 0, bytes: 0 },
      table,
      room: () => ROOM,
      entryCount: () => this.#registeredCount,
      reportIntervalMs: () => gossipIntervalFor(this.#options.entryCount),
      startedAtMs: this.#nowMs,
      nowMs: this.#nowMs,
    });
    const own = this.#servers.map(() => 0);
    const nextReportMs = this.#nowMs + this.#random() * TICK_MS;
    const peers = new Map<string, number[]>();
    return { isUp: true, table, scheduler, nextReportMs, own, peers };
  }

  get #registeredCount(): number {
    const isForgotten = this.#nowMs - this.#killedAtMs > REGISTERED_MS;
    return isForgotten
      ? this.entries.filter(({ isUp }) => isUp).length
      : this.#options.entryCount;
  }
}
