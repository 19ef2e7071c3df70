/** Stand-in for a plain service, some of whose calls are not idempotent. */
import { setTimeout as delay } from "node:timers/promises";
import {
  answerJson,
  type HostRequest,
  HttpHost,
  readJson,
  takeDownFor,
} from "./_http_host.ts";

/** Settings of a {@link StandinService}. */
export interface StandinServiceOptions {
  /** `ip:port`; port 0 selects a free port. */
  listenAddress: string;
  /** Duration of each call. */
  delayMs: number;
}

/** Faults of a {@link StandinService}, in the format of its control endpoint. */
export interface StandinServiceFaults {
  /** Number of upcoming bookings that are executed, but whose connection is cut without an answer. */
  dropAnswers: number;
  /** Number of upcoming bookings whose connection is cut before they are executed. */
  dropRequests: number;
  /** Delay added to each call before it takes effect. */
  slowMs: number;
  /** Takes the service down for this time; 0: off. */
  downMs: number;
}

/** An executed booking. */
export interface ServiceExecution {
  /** Sequence number, starting at 1. */
  number: number;
  idempotencyKey: string;
  body: string;
}

const DEFAULT_OPTIONS: StandinServiceOptions = {
  listenAddress: "127.0.0.1:0",
  delayMs: 0,
};

/** A plain service for tests and development. */
export class StandinService {
  readonly faults: StandinServiceFaults = {
    dropAnswers: 0,
    dropRequests: 0,
    slowMs: 0,
    downMs: 0,
  };
  readonly #options: StandinServiceOptions;
  readonly #executions: ServiceExecution[] = [];
  #host: HttpHost | undefined;

  private constructor(options: StandinServiceOptions) {
    this.#options = options;
  }

  /**
   * @param options Settings that differ from the defaults.
   * @returns A listening service.
   */
  static async create(
    options: Partial<StandinServiceOptions> = {},
  ): Promise<StandinService> {
    const service = new StandinService({ ...DEFAULT_OPTIONS, ...options });
    service.#host = await HttpHost.create({
      listenAddress: service.#options.listenAddress,
      handle: (request) => service.#serve(request),
    });
    return service;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    return this.#host!.address;
  }

  /** Base URL of the listener. */
  get url(): string {
    return `http://${this.address}`;
  }

  /** Executed bookings, in order. */
  get executions(): readonly ServiceExecution[] {
    return this.#executions;
  }

  /**
   * Changes faults.
   *
   * @param faults Faults to change; omitted ones keep their value.
   */
  async setFaults(faults: Partial<StandinServiceFaults>): Promise<void> {
    const { downMs, ...lasting } = faults;
    Object.assign(this.faults, lasting);
    if (downMs) await takeDownFor(this.#host!, downMs);
  }

  /** Cuts connections and refuses new ones until {@link up}. */
  async down(): Promise<void> {
    await this.#host!.down();
  }

  /** Starts listening again after {@link down}, on the same port. */
  async up(): Promise<void> {
    await this.#host!.up();
  }

  /** Stops the service permanently. */
  async close(): Promise<void> {
    await this.down();
  }

  async #serve(request: HostRequest): Promise<void> {
    const { response } = request;
    switch (`${request.method} ${request.url.pathname}`) {
      case "GET /control/executions":
        return answerJson(response, 200, { executions: this.#executions });
      case "POST /control/faults":
        answerJson(response, 200, {});
        return await this.setFaults(
          readJson<Partial<StandinServiceFaults>>(request),
        );
    }
    const waitMs = this.#options.delayMs + this.faults.slowMs;
    if (waitMs > 0) await delay(waitMs);
    switch (`${request.method} ${request.url.pathname}`) {
      case "POST /bookings":
        return this.#book(request);
      case "GET /echo":
      case "POST /echo":
        return echo(request);
      default:
        return answerJson(response, 404, { error: { message: "Not found" } });
    }
  }

  #book(request: HostRequest): void {
    if (this.faults.dropRequests > 0) {
      this.faults.dropRequests--;
      return void request.response.destroy();
    }
    const number = this.#executions.length + 1;
    const idempotencyKey = String(request.headers["idempotency-key"] ?? "");
    const body = request.body.toString();
    this.#executions.push({ number, idempotencyKey, body });
    if (this.faults.dropAnswers > 0) {
      this.faults.dropAnswers--;
      return void request.response.destroy();
    }
    answerJson(request.response, 201, { execution: number, body });
  }
}

function echo(request: HostRequest): void {
  answerJson(request.response, 200, {
    method: request.method,
    path: `${request.url.pathname}${request.url.search}`,
    body: request.body.toString(),
  });
}
