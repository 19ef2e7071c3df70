/** Stand-in for a backend server of the platform: plain calls, streams, reports and orders. */
import type { ServerResponse } from "node:http";
import { endAnswer, endHost } from "./_answer_cut.ts";
import { answerJson, type HostRequest, HttpHost } from "./_http_host.ts";
import { answerCall, answerEmpty } from "./_platform_answer.ts";
import { isCrashing, sendStreamHead } from "./_platform_crash.ts";
import { type AcceptedOrder, PlatformOrders } from "./_platform_orders.ts";
import {
  endAtDeadline,
  omitLength,
  type RunningStream,
  writeEvents,
} from "./_platform_stream.ts";
import {
  addCopy,
  backUp,
  deleteCopiesOf,
  deleteCopy,
  mayRunAt,
} from "./_run_copies.ts";
import type { ExecutedRequest, ServerArrival } from "./server_records.ts";
import { LateRefusals } from "./_late_refusals.ts";
import { registrationOf, reportOf } from "./_server_status.ts";
import { UnframedAnswers } from "./_unframed_answers.ts";
import {
  consumeFault,
  CutEnding,
  DEFAULT_OPTIONS,
  NO_FAULTS,
  type StandinBackendServerFaults,
  type StandinBackendServerOptions,
} from "./backend_server_options.ts";

/** Events of a stream that are sent before its answer is cut. */
const EVENTS_BEFORE_CUT = 2;

/** A simulated backend server with fault injection. */
export class StandinBackendServer {
  /** Executed requests, in order. */
  readonly runs: ExecutedRequest[] = [];
  /** Number of requests rejected with a retry delay, because of the `pauseS` fault. */
  pauseRejections = 0;
  /** Number of requests rejected as not executed, without a retry delay. */
  refused = 0;
  /** Requests that arrived, executed or not; times by the process's monotonic clock. */
  readonly arrivals: ServerArrival[] = [];
  /** Answers that only the end of their connection ends. */
  readonly unframedAnswers = UnframedAnswers.create();
  readonly #lateRefusals = LateRefusals.create();
  /** Ids of copies that were freed before a run resumed from them. */
  readonly freedCopyIds: string[] = [];
  readonly faults: StandinBackendServerFaults;
  /** Instance id; a restart may bring another one. */
  id: string;
  /** See {@link StandinBackendServerOptions.softwareVersion}; a restart may bring another one. */
  softwareVersion: string | undefined;
  /** Streams in progress, by attempt id. */
  readonly #streams = new Map<string, RunningStream>();
  readonly #options: StandinBackendServerOptions;
  readonly #orders: PlatformOrders;
  #startedAtMs = Date.now();
  #host!: HttpHost;

  private constructor(options: StandinBackendServerOptions) {
    this.#options = options;
    this.id = options.id;
    this.faults = options.faults ?? { ...NO_FAULTS };
    this.#orders = new PlatformOrders(options);
    this.softwareVersion = options.softwareVersion;
  }

  /**
   * @param options Settings that differ from the defaults.
   * @returns A listening server.
   */
  static async create(
    options: Partial<StandinBackendServerOptions> = {},
  ): Promise<StandinBackendServer> {
    const worker = new StandinBackendServer({
      ...DEFAULT_OPTIONS,
      ...options,
    });
    await worker.#listen(worker.#options.listenAddress);
    return worker;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    return this.#host.address;
  }

  /** Number of streams in progress. */
  get streams(): number {
    return this.#streams.size;
  }

  /** The model that the server serves; undefined for a plain service. */
  get model(): string | undefined {
    return this.#options.model;
  }

  /** Version of the weights that are loaded. */
  get version(): number {
    return this.#orders.version;
  }

  /** Time of the last start, in Unix milliseconds. */
  get bornAtMs(): number {
    return this.#startedAtMs;
  }

  /** Number of orders accepted since the last start. */
  get sequence(): number {
    return this.#orders.sequence;
  }

  /** Whether weights are being loaded. */
  get busy(): boolean {
    return this.#orders.busy;
  }

  /** Accepted orders, including those from before a restart. */
  get orders(): AcceptedOrder[] {
    return this.#orders.accepted;
  }

  /**
   * @param service Service that the server belongs to.
   * @param fields Fields that differ from those of a ready server.
   * @returns The server's entry in the platform's store.
   */
  entry(service: string, fields: object = {}): object {
    return { ...registrationOf(this, service), ...fields };
  }

  /** @returns The body of a complete stream whose events contain `text` and their id. */
  static streamText(text: string, events: number): string {
    return Array.from(
      { length: events },
      (_, i) => `id: ${i + 1}\ndata: ${text}${i + 1}\n\n`,
    ).join("");
  }

  /** Cuts connections and refuses new ones until {@link up}. */
  down(): Promise<void> {
    this.unframedAnswers.recordEnd(false);
    return this.#host.down();
  }

  /** Listens again after {@link down}, without counting as a restart. */
  up(): Promise<void> {
    return this.#host.up();
  }

  /**
   * Restarts the server under the same id. Cuts its runs, drops its copies and resets the order
   * sequence; loaded weights are kept.
   *
   * @param listenAddress New listen address; defaults to the current one.
   */
  async restart(listenAddress?: string): Promise<void> {
    await this.down();
    this.#streams.clear();
    deleteCopiesOf(this.address);
    this.#orders.restart();
    this.#startedAtMs = Math.max(Date.now(), this.#startedAtMs + 1);
    await this.#listen(listenAddress ?? this.address);
  }

  /** Stops the server permanently. */
  close(): Promise<void> {
    this.#orders.restart();
    return this.down();
  }

  async #listen(listenAddress: string): Promise<void> {
    this.#host = await HttpHost.create({
      listenAddress,
      handle: (request) => this.#serve(request),
    });
  }

  #serve(request: HostRequest): void {
    const { response, headers } = request;
    const { leaving, rate } = this.faults;
    if (leaving) response.setHeader("server-leaving", "1");
    if (rate !== undefined) response.setHeader("server-limit", rate);
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return answerEmpty(response, 421, { "instance-id": this.id });
    }
    const id = request.url.pathname.split("/").at(-1) ?? "";
    switch (`${request.method} ${request.url.pathname}`) {
      case "GET /v1/report":
        return answerJson(response, 200, reportOf(this));
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

  #order({ body, response }: HostRequest): void {
    const order = JSON.parse(body.toString());
    const isRefused = consumeFault(this.faults, "refuseOrder");
    answerEmpty(response, isRefused ? 409 : this.#orders.submit(order));
  }

  /** Stops a run and copies its key-value cache to the target server. */
  #move({ body, response }: HostRequest): void {
    const { id, target } = JSON.parse(body.toString());
    const stream = this.#streams.get(id);
    if (!stream) return answerEmpty(response, 404);
    this.#streams.delete(id);
    stream.response.destroy();
    if (consumeFault(this.faults, "loseMove")) return void response.destroy();
    const copyId = `copy-${id}`;
    const isFull = consumeFault(this.faults, "moveFull");
    if (!isFull) addCopy({ source: this.address, copyId }, target);
    answerJson(response, isFull ? 503 : 200, {
      handle: copyId,
      created: stream.lastEventId,
    });
  }

  #freeCopy(id: string, response: ServerResponse): void {
    const isKnown = deleteCopy({ source: this.address, copyId: id });
    if (isKnown) this.freedCopyIds.push(id);
    answerEmpty(response, isKnown ? 200 : 404);
  }

  #run(request: HostRequest): void {
    const { response, headers } = request;
    const requestId = String(headers["attempt-id"] ?? "");
    const arrival = { atMs: performance.now(), requestId, serverId: this.id };
    this.arrivals.push(arrival);
    const { hasLateRefusals, isUnframed, rate } = this.faults;
    const isEnabled = hasLateRefusals && !isUnframed;
    this.#lateRefusals.send(response, { isEnabled, rate });
    if (consumeFault(this.faults, "refuseWeights")) {
      return answerEmpty(response, 421);
    }
    const { pauseS } = this.faults;
    if (pauseS !== undefined) {
      this.pauseRejections++;
      return answerEmpty(response, 503, {
        "not-executed": "1",
        "retry-after": String(pauseS),
      });
    }
    const expectedVersion = headers["expect-version"];
    if (
      expectedVersion !== undefined && Number(expectedVersion) !== this.version
    ) {
      const loaded = { "weight-versions": String(this.version) };
      return answerEmpty(response, 421, loaded);
    }
    const isCopyHere = mayRunAt(request, this.address);
    if (consumeFault(this.faults, "refuse") || !isCopyHere) {
      this.refused++;
      return answerEmpty(response, 503, { "not-executed": "1" });
    }
    this.runs.push({
      method: request.method,
      target: request.url.pathname + request.url.search,
      headers,
      body: request.body.toString(),
    });
    if (!consumeFault(this.faults, "noBackup")) backUp(request);
    if (isCrashing(request, this.faults)) return this.#crashDuring(request);
    if (consumeFault(this.faults, "hang")) return;
    if (consumeFault(this.faults, "loseAnswer")) return void response.destroy();
    const onPart = this.#takeCut(request);
    if (this.#options.model !== undefined) {
      return this.#stream(request, onPart);
    }
    const { faults, unframedAnswers: unframed } = this;
    const { lateMs } = faults;
    const seal = `seal-${this.id}`;
    const answer = () =>
      answerCall(request, { faults, seal, unframed, onPart });
    if (lateMs === 0) return answer();
    setTimeout(answer, lateMs);
  }

  /** Simulates a process crash as the answer begins, which also ends all other runs. */
  #crashDuring(request: HostRequest): void {
    if (!this.faults.isEndBeforeHead) {
      sendStreamHead(request, `seal-${this.id}`);
    }
    setImmediate(() => {
      void this.down();
      this.#options.onCrash?.();
    });
  }

  /** @returns Cuts the answer to the request; undefined: it is not to be cut. */
  #takeCut({ headers, response }: HostRequest): (() => void) | undefined {
    const { cut } = this.faults;
    if (!cut) return undefined;
    this.faults.cut = undefined;
    return () => {
      if (response.destroyed) return;
      this.unframedAnswers.recordCut(
        String(headers["attempt-id"]),
        cut.isReset,
      );
      if (cut.ending === CutEnding.lives) return endAnswer(response, cut);
      this.unframedAnswers.recordEnd(cut.isReset);
      endHost(this.#host, cut);
      this.#options.onCutEnd?.(cut.ending);
    };
  }

  #stream(
    { headers, response }: HostRequest,
    onPart: (() => void) | undefined,
  ): void {
    const { events, eventMs } = this.#options;
    const { cutAfterEvents: cutAfter, stall } = this.faults;
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    this.faults.cutAfterEvents = undefined;
    const id = String(headers["attempt-id"]);
    if (consumeFault(this.faults, "unframed")) omitLength(response);
    if (this.faults.isUnframed || onPart) {
      this.unframedAnswers.begin(id, response);
    }
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "server-seal": `seal-${this.id}`,
      "attempt-id": id,
      "weight-versions": String(this.version),
    });
    const stream = { response, lastEventId: first - 1 };
    endAtDeadline(headers, response);
    this.#streams.set(id, stream);
    response.once("close", () => {
      if (this.#streams.get(id) === stream) this.#streams.delete(id);
    });
    const writer = this.softwareVersion && `${this.id} ${this.softwareVersion}`;
    const afterEvents = Math.min(events - 1, first - 1 + EVENTS_BEFORE_CUT);
    const end = onPart && { afterEvents, run: onPart };
    void writeEvents(stream, { cutAfter, end, events, eventMs, stall, writer });
  }
}
