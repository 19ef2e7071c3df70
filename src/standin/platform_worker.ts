/**
 * Stand-in for a backend server of the users' platform: plain calls and streams by its published
 * headers, its report, and orders for weights.
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { type HostRequest, HttpHost } from "./_http_host.ts";
import { answerCall } from "./_platform_answer.ts";
import {
  PlatformOrders,
  type StandinPlatformOrder,
} from "./_platform_orders.ts";
import {
  endAtDeadline,
  type RunningStream,
  writeEvents,
} from "./_platform_stream.ts";
import {
  DEFAULT_OPTIONS,
  NO_FAULTS,
  type StandinPlatformWorkerFaults,
  type StandinPlatformWorkerOptions,
  take,
} from "./platform_worker_options.ts";

/** One request that ran. */
export interface StandinPlatformRun {
  method: string;
  target: string;
  headers: IncomingHttpHeaders;
  body: string;
}

/** Addresses of the servers that hold copies of runs, by where they came from and their id. */
const copies = new Map<string, string>();

/** A backend server with faults. */
export class StandinPlatformWorker {
  readonly runs: StandinPlatformRun[] = [];
  /** Requests that it turned away because it wants a pause. */
  turnedAway = 0;
  /** Requests that it refused as not run. */
  refused = 0;
  /** Ids of copies that were freed before a run went on from them. */
  readonly freedCopies: string[] = [];
  readonly faults: StandinPlatformWorkerFaults;
  /** Streams under way, by the id of the request. */
  readonly #streams = new Map<string, RunningStream>();
  readonly #options: StandinPlatformWorkerOptions;
  readonly #orders: PlatformOrders;
  #bornAtMs = Date.now();
  #host!: HttpHost;

  private constructor(options: StandinPlatformWorkerOptions) {
    this.#options = options;
    this.faults = options.faults ?? { ...NO_FAULTS };
    this.#orders = new PlatformOrders(options);
  }

  /**
   * @param options What differs from the defaults.
   * @returns A server that is up.
   */
  static async create(
    options: Partial<StandinPlatformWorkerOptions> = {},
  ): Promise<StandinPlatformWorker> {
    const worker = new StandinPlatformWorker({
      ...DEFAULT_OPTIONS,
      ...options,
    });
    await worker.#listen(worker.#options.listenAddress);
    return worker;
  }

  /** `ip:port`. */
  get address(): string {
    return this.#host.address;
  }

  get id(): string {
    return this.#options.id;
  }

  /** Streams under way. */
  get streams(): number {
    return this.#streams.size;
  }

  /** The model that it serves; none: it is a plain server. */
  get model(): string | undefined {
    return this.#options.model;
  }

  /** Version of the weights that are loaded. */
  get version(): number {
    return this.#orders.version;
  }

  /** When it started, in Unix ms. */
  get bornAtMs(): number {
    return this.#bornAtMs;
  }

  /** Orders that it accepted, over all its starts. */
  get orders(): StandinPlatformOrder[] {
    return this.#orders.accepted;
  }

  /**
   * @param service The service that it belongs to.
   * @param fields What differs from a ready server.
   * @returns Its entry in the platform's store.
   */
  entry(service: string, fields: object = {}): object {
    return {
      service,
      address: this.address,
      zone: "a",
      version: "v1",
      slots: 4,
      state: "ready",
      models: this.#models(),
      cold_left_ms: 0,
      sequence: this.#orders.sequence,
      born: this.#bornAtMs,
      ...fields,
    };
  }

  /** @param text The body of a whole stream. */
  static streamText(text: string, events: number): string {
    return Array.from(
      { length: events },
      (_, i) => `id: ${i + 1}\ndata: ${text}${i + 1}\n\n`,
    ).join("");
  }

  /** Refuses connections and cuts those that are open. */
  down(): Promise<void> {
    return this.#host.down();
  }

  /** Listens again, as the same start of it. */
  up(): Promise<void> {
    return this.#host.up();
  }

  /**
   * Starts again under its id. Its runs are cut, it holds no copy and counts its orders anew; the
   * weights that it has loaded stay.
   *
   * @param listenAddress Where it listens from now on; left out: where it did.
   */
  async restart(listenAddress?: string): Promise<void> {
    await this.#host.down();
    this.#streams.clear();
    for (const [copy, holder] of copies) {
      const isHere = holder === this.address ||
        copy.startsWith(`${this.address}/`);
      if (isHere) copies.delete(copy);
    }
    this.#orders.restart();
    this.#bornAtMs = Math.max(Date.now(), this.#bornAtMs + 1);
    await this.#listen(listenAddress ?? this.address);
  }

  /** Stops. */
  close(): Promise<void> {
    this.#orders.restart();
    return this.#host.down();
  }

  async #listen(listenAddress: string): Promise<void> {
    this.#host = await HttpHost.create({
      listenAddress,
      handle: (request) => this.#serve(request),
    });
  }

  #models(): object[] {
    const { model } = this.#options;
    if (model === undefined) return [];
    return [{ name: model, version: this.version, adapters: [] }];
  }

  #serve(request: HostRequest): void {
    const { response, headers } = request;
    if (this.faults.leaving) response.setHeader("server-leaving", "1");
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "instance-id": this.id });
      response.end();
      return;
    }
    const id = request.url.pathname.split("/").at(-1) ?? "";
    switch (`${request.method} ${request.url.pathname}`) {
      case "GET /v1/report":
        return this.#report(response);
      case "POST /v1/order":
        return this.#order(request);
      case "POST /v1/kv-move":
        return this.#move(request);
      case `DELETE /v1/kv-handle/${id}`:
        return this.#freeCopy(id, response);
      default:
        return this.#run(request);
    }
  }

  #report(response: ServerResponse): void {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      stage: "colocated",
      models: this.#models(),
      busy: this.#orders.busy,
      sequence: this.#orders.sequence,
      born: this.#bornAtMs,
      queued: 0,
      running: 0,
      kv_used: 0,
      kv_total: 1000,
      handles: 0,
    }));
  }

  #order({ body, response }: HostRequest): void {
    const order = JSON.parse(body.toString());
    const isRefused = take(this.faults, "refuseOrder");
    response.writeHead(isRefused ? 409 : this.#orders.judge(order));
    response.end();
  }

  /** Stops a run and copies its memory. */
  #move({ body, response }: HostRequest): void {
    const { id, target } = JSON.parse(body.toString());
    const stream = this.#streams.get(id);
    if (!stream) {
      response.writeHead(404);
      response.end();
      return;
    }
    this.#streams.delete(id);
    stream.response.destroy();
    const handle = `copy-${id}`;
    const isFull = take(this.faults, "moveFull");
    if (!isFull) copies.set(`${this.address}/${handle}`, target);
    response.writeHead(isFull ? 503 : 200, {
      "content-type": "application/json",
    });
    response.end(JSON.stringify({ handle, created: stream.last }));
  }

  #freeCopy(id: string, response: ServerResponse): void {
    const isKnown = copies.delete(`${this.address}/${id}`);
    if (isKnown) this.freedCopies.push(id);
    response.writeHead(isKnown ? 200 : 404);
    response.end();
  }

  #run(request: HostRequest): void {
    const { response, headers } = request;
    if (take(this.faults, "refuseWeights")) {
      response.writeHead(421);
      response.end();
      return;
    }
    const { pauseS } = this.faults;
    if (pauseS !== undefined) return this.#turnAway(response, pauseS);
    const wanted = headers["expect-version"];
    if (wanted !== undefined && Number(wanted) !== this.version) {
      response.writeHead(421, { "weight-versions": String(this.version) });
      response.end();
      return;
    }
    const copy = headers["kv-from"];
    const isCopyHere = copy === undefined ||
      copies.get(String(copy)) === this.address;
    if (take(this.faults, "refuse") || !isCopyHere) {
      this.refused++;
      response.writeHead(503, { "not-executed": "1" });
      response.end();
      return;
    }
    this.runs.push({
      method: request.method,
      target: request.url.pathname + request.url.search,
      headers,
      body: request.body.toString(),
    });
    if (request.url.pathname === this.faults.endOnTarget) {
      return this.#endUnder(request);
    }
    if (take(this.faults, "hang")) return;
    if (take(this.faults, "loseAnswer")) return void response.destroy();
    if (this.#options.model !== undefined) return this.#stream(request);
    const { lateMs } = this.faults;
    const answer = () =>
      answerCall(request, { faults: this.faults, seal: `seal-${this.id}` });
    if (lateMs === 0) return answer();
    setTimeout(answer, lateMs);
  }

  #turnAway(response: ServerResponse, pauseS: number): void {
    this.turnedAway++;
    response.writeHead(503, {
      "not-executed": "1",
      "retry-after": String(pauseS),
    });
    response.end();
  }

  /** Its process ends once the head of the answer is out, and all else that it runs with it. */
  #endUnder({ headers, response }: HostRequest): void {
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "server-seal": `seal-${this.id}`,
      "attempt-id": String(headers["attempt-id"]),
    });
    response.flushHeaders();
    setImmediate(() => void this.down());
  }

  #stream({ headers, response }: HostRequest): void {
    const { events } = this.#options;
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    const cutAfter = this.faults.cutAfterEvents;
    this.faults.cutAfterEvents = undefined;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "server-seal": `seal-${this.id}`,
      "attempt-id": String(headers["attempt-id"]),
      "weight-versions": String(this.version),
    });
    const stream = { response, last: first - 1 };
    endAtDeadline(headers, response);
    const id = String(headers["attempt-id"]);
    this.#streams.set(id, stream);
    response.once("close", () => {
      if (this.#streams.get(id) === stream) this.#streams.delete(id);
    });
    const { eventMs } = this.#options;
    const { stall } = this.faults;
    void writeEvents(stream, { cutAfter, events, eventMs, stall });
  }
}
