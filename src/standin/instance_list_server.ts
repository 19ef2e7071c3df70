/** Stand-in for the platform's list of instances, which shows changes with a delay. */
import type { Instance, InstanceChanges } from "../backends/mod.ts";
import {
  answerJson,
  type HostRequest,
  HttpHost,
  readJson,
} from "./_http_host.ts";

/** Settings of a {@link StandinInstanceList}. */
export interface StandinInstanceListOptions {
  /** `ip:port`; port 0 selects a free port. */
  listenAddress: string;
  /** Delay until a change becomes visible. */
  lagMs: number;
}

const DEFAULT_OPTIONS: StandinInstanceListOptions = {
  listenAddress: "127.0.0.1:0",
  lagMs: 0,
};

/** An instance and the revision of its last change. */
interface Row {
  revision: number;
  instance: Instance;
}

/** A list of instances for tests and development. */
export class StandinInstanceList {
  readonly #options: StandinInstanceListOptions;
  readonly #rows = new Map<string, Row>();
  readonly #waiters = new Set<() => void>();
  #revision = 0;
  #host: HttpHost | undefined;

  private constructor(options: StandinInstanceListOptions) {
    this.#options = options;
  }

  /**
   * @param options Settings that differ from the defaults.
   * @returns A listening server with an empty list.
   */
  static async create(
    options: Partial<StandinInstanceListOptions> = {},
  ): Promise<StandinInstanceList> {
    const list = new StandinInstanceList({ ...DEFAULT_OPTIONS, ...options });
    list.#host = await HttpHost.create({
      listenAddress: list.#options.listenAddress,
      handle: (request) => list.#serve(request),
    });
    return list;
  }

  /** `ip:port` of the listener. */
  get address(): string {
    return this.#host!.address;
  }

  /** Base URL of the listener. */
  get url(): string {
    return `http://${this.address}`;
  }

  /**
   * Adds or replaces instances; the change becomes visible after the lag. Rows are never removed, not
   * even in state `gone`.
   *
   * @param instances New rows, matched by id.
   */
  set(instances: Instance[]): void {
    if (this.#options.lagMs === 0) return this.#apply(instances);
    const rows = instances.map((instance) => ({ ...instance }));
    setTimeout(() => this.#apply(rows), this.#options.lagMs).unref();
  }

  /** Cuts connections and refuses new ones until {@link up}. */
  async down(): Promise<void> {
    await this.#host!.down();
  }

  /** Starts listening again after {@link down}, on the same port. */
  async up(): Promise<void> {
    await this.#host!.up();
  }

  /** Stops the server permanently. */
  async close(): Promise<void> {
    await this.down();
  }

  #apply(instances: Instance[]): void {
    this.#revision++;
    for (const instance of instances) {
      this.#rows.set(instance.id, { revision: this.#revision, instance });
    }
    for (const wake of [...this.#waiters]) wake();
  }

  async #serve(request: HostRequest): Promise<void> {
    switch (`${request.method} ${request.url.pathname}`) {
      case "GET /v1/instances":
        return await this.#answerChanges(request);
      case "PUT /control/instances":
        this.set(readJson<{ instances: Instance[] }>(request).instances);
        return answerJson(request.response, 200, {});
      default:
        return answerJson(request.response, 404, {
          error: { message: "Not found" },
        });
    }
  }

  async #answerChanges(request: HostRequest): Promise<void> {
    const { searchParams } = request.url;
    const since = Number(searchParams.get("since") ?? 0);
    const waitMs = Number(searchParams.get("waitMs") ?? 0);
    if (since === this.#revision && waitMs > 0) {
      await this.#waitForChange(waitMs, request);
    }
    answerJson(request.response, 200, this.#changesSince(since));
  }

  /**
   * A revision newer than the current one comes from before a restart of the list, so it is answered
   * with the full list.
   */
  #changesSince(since: number): InstanceChanges {
    const revision = this.#revision;
    const full = since === 0 || since > revision;
    const instances: Instance[] = [];
    for (const row of this.#rows.values()) {
      if (full || row.revision > since) instances.push(row.instance);
    }
    return { revision, full, instances };
  }

  #waitForChange(waitMs: number, request: HostRequest): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.#waiters.add(wake);
      request.response.once("close", wake);
    });
  }
}
