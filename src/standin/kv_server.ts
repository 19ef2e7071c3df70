/** Stand-in for the platform's key-value service: etcd's gRPC API on top of a memory store. */
import {
  type handleBidiStreamingCall,
  type handleUnaryCall,
  Server,
  ServerCredentials,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import { type Clock, systemClock } from "../base/mod.ts";
import {
  type Expectation,
  findCommitRefusal,
  MemoryStore,
  type StoreFailure,
  type Write,
} from "../store/mod.ts";
import {
  KVService,
  type LeaseGrantRequest,
  type LeaseGrantResponse,
  type LeaseKeepAliveRequest,
  type LeaseKeepAliveResponse,
  type LeaseRevokeRequest,
  type LeaseRevokeResponse,
  LeaseService,
  type RangeRequest,
  type RangeResponse,
  type TxnRequest,
  type TxnResponse,
  type WatchRequest,
  type WatchResponse,
  WatchService,
} from "../wire/gen/etcd.ts";
import {
  answerJson,
  type HostRequest,
  HttpHost,
  readJson,
} from "./_http_host.ts";
import {
  toExpectation,
  toFailureResponse,
  toHeader,
  toKeyValue,
  toRange,
  toWrite,
  UnsupportedError,
} from "./_kv_codec.ts";
import { serveWatch } from "./_kv_watch.ts";
import { RateMeter } from "./_rate_meter.ts";

/** Settings of a {@link StandinKv}. */
export interface StandinKvOptions {
  /** `ip:port` of the gRPC listener; port 0 selects a free port. */
  listenAddress: string;
  /** `ip:port` of the HTTP control listener; empty: none. */
  controlAddress: string;
  clock: Clock;
}

/** Faults of a {@link StandinKv}, in the format of its control endpoint. */
export interface StandinKvFaults {
  /** Closes the listener and cuts all connections. */
  down: boolean;
  /** Keeps connections open but answers nothing. */
  silent: boolean;
  slowMs: number;
  loseNextAnswer: boolean;
  loseNextRequest: boolean;
  lateNextEffectMs: number;
}

const DEFAULT_OPTIONS: StandinKvOptions = {
  listenAddress: "127.0.0.1:0",
  controlAddress: "",
  clock: systemClock,
};

const SERVER_OPTIONS = { "grpc.max_receive_message_length": -1 };
const MS_PER_SECOND = 1000;

/** A key-value service for tests and development. */
export class StandinKv {
  /** Store behind the service, with its faults and counters. */
  readonly store: MemoryStore;
  /** Call counts and peak rates. */
  readonly rates: RateMeter;
  readonly #options: StandinKvOptions;
  #address: string;
  #server: Server | undefined;
  #control: HttpHost | undefined;
  #isSilent = false;

  private constructor(options: StandinKvOptions) {
    this.#options = options;
    this.#address = options.listenAddress;
    this.store = MemoryStore.create({ clock: options.clock });
    this.rates = RateMeter.create(options.clock);
  }

  /**
   * @param options Settings that differ from the defaults.
   * @returns A listening service with an empty store.
   */
  static async create(
    options: Partial<StandinKvOptions> = {},
  ): Promise<StandinKv> {
    const standin = new StandinKv({ ...DEFAULT_OPTIONS, ...options });
    await standin.#up();
    if (standin.#options.controlAddress) await standin.#openControl();
    return standin;
  }

  /** `ip:port` of the gRPC listener. */
  get address(): string {
    return this.#address;
  }

  /** `ip:port` of the control listener; empty: none. */
  get controlAddress(): string {
    return this.#control?.address ?? "";
  }

  /**
   * Changes faults.
   *
   * @param faults Faults to change; omitted ones keep their value.
   */
  async setFaults(faults: Partial<StandinKvFaults>): Promise<void> {
    const { down, silent, ...storeFaults } = faults;
    Object.assign(this.store.faults, storeFaults);
    if (silent !== undefined) this.#isSilent = silent;
    if (down === true) this.#down();
    if (down === false) await this.#up();
  }

  /** Stops the service permanently. */
  async close(): Promise<void> {
    this.#down();
    this.store.close();
    await this.#control?.down();
  }

  async #up(): Promise<void> {
    if (this.#server) return;
    const server = new Server(SERVER_OPTIONS);
    server.addService(KVService, { range: this.#range, txn: this.#txn });
    server.addService(WatchService, { watch: this.#watch });
    server.addService(LeaseService, {
      leaseGrant: this.#leaseGrant,
      leaseRevoke: this.#leaseRevoke,
      leaseKeepAlive: this.#leaseKeepAlive,
    });
    const port = await bind(server, this.#address);
    const host = this.#address.slice(0, this.#address.lastIndexOf(":"));
    this.#address = `${host}:${port}`;
    this.#server = server;
  }

  #down(): void {
    this.#server?.forceShutdown();
    this.#server = undefined;
  }

  readonly #range: handleUnaryCall<RangeRequest, RangeResponse> = async (
    { request },
    reply,
  ) => {
    this.rates.read();
    const range = toRange(request.key, request.rangeEnd);
    const listing = await this.store.listRange(range);
    if (this.#isSilent) return;
    if (listing.isErr) return replyFailure(reply, listing.error);
    const kvs = listing.value.entries.map(toKeyValue);
    const header = toHeader(listing.value.position.revision);
    reply(null, { header, kvs, more: false, count: BigInt(kvs.length) });
  };

  readonly #txn: handleUnaryCall<TxnRequest, TxnResponse> = async (
    { request },
    reply,
  ) => {
    this.rates.write();
    if (this.#isSilent) return;
    const commit = parseCommit(request);
    if (commit instanceof UnsupportedError) {
      return reply({ code: status.UNIMPLEMENTED, details: commit.message });
    }
    const { expect, writes } = commit;
    const refusal = findCommitRefusal(expect, writes);
    if (refusal) {
      return reply({ code: status.INVALID_ARGUMENT, details: refusal });
    }
    const result = await this.store.commit(expect, writes);
    if (this.#isSilent) return;
    if (result.isErr) return replyFailure(reply, result.error);
    const outcome = result.value;
    const header = toHeader(outcome.position.revision);
    if (outcome.kind === "committed") {
      return reply(null, { header, succeeded: true, responses: [] });
    }
    const responses = request.failure.map((op) =>
      toFailureResponse(op, outcome.current, outcome.position.revision)
    );
    reply(null, { header, succeeded: false, responses });
  };

  readonly #watch: handleBidiStreamingCall<WatchRequest, WatchResponse> = (
    stream,
  ) => {
    this.rates.watch();
    this.store.counters.watches++;
    serveWatch(stream, this.store.table, () => this.#isSilent);
  };

  readonly #leaseGrant: handleUnaryCall<LeaseGrantRequest, LeaseGrantResponse> =
    async (
      { request },
      reply,
    ) => {
      this.rates.write();
      if (this.#isSilent) return;
      const ttlMs = Number(request.TTL) * MS_PER_SECOND;
      const lease = await this.store.grantLease(ttlMs);
      if (lease.isErr) return replyFailure(reply, lease.error);
      const header = toHeader(this.store.table.revision);
      const { leaseId } = lease.value;
      reply(null, { header, ID: leaseId, TTL: request.TTL, error: "" });
    };

  readonly #leaseRevoke: handleUnaryCall<
    LeaseRevokeRequest,
    LeaseRevokeResponse
  > = async (
    { request },
    reply,
  ) => {
    this.rates.write();
    if (this.#isSilent) return;
    const revoked = await this.store.revokeLease(request.ID);
    if (revoked.isErr) return replyFailure(reply, revoked.error);
    reply(null, { header: toHeader(this.store.table.revision) });
  };

  readonly #leaseKeepAlive: handleBidiStreamingCall<
    LeaseKeepAliveRequest,
    LeaseKeepAliveResponse
  > = (stream) => {
    stream.on("error", () => {});
    stream.on("end", () => stream.end());
    stream.on("data", async ({ ID }: LeaseKeepAliveRequest) => {
      this.rates.write();
      if (this.#isSilent) return;
      const lease = await this.store.renewLease(ID);
      if (this.#isSilent || lease.isErr) return;
      const TTL = BigInt(lease.value.ttlMs / MS_PER_SECOND);
      const header = toHeader(this.store.table.revision);
      stream.write({ header, ID, TTL });
    });
  };

  async #openControl(): Promise<void> {
    this.#control = await HttpHost.create({
      listenAddress: this.#options.controlAddress,
      handle: (request) => this.#serveControl(request),
    });
  }

  async #serveControl(request: HostRequest): Promise<void> {
    const route = `${request.method} ${request.url.pathname}`;
    switch (route) {
      case "POST /control/faults":
        await this.setFaults(readJson<Partial<StandinKvFaults>>(request));
        return answerJson(request.response, 200, {});
      case "GET /control/rates": {
        const { counters } = this.store;
        return answerJson(request.response, 200, {
          counters,
          ...this.rates.report(),
        });
      }
      default:
        return answerJson(request.response, 404, {
          error: { message: "Not found" },
        });
    }
  }
}

function parseCommit(
  request: TxnRequest,
): { expect: Expectation[]; writes: Write[] } | UnsupportedError {
  try {
    const expect = request.compare.map(toExpectation);
    return { expect, writes: request.success.map(toWrite) };
  } catch (error) {
    if (error instanceof UnsupportedError) return error;
    throw error;
  }
}

function bind(server: Server, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(
      address,
      ServerCredentials.createInsecure(),
      (error, port) => error ? reject(error) : resolve(port),
    );
  });
}

/** Reports an unavailable store; other failures are not answered, so the caller's deadline expires. */
function replyFailure(
  reply: (error: Partial<ServiceError>) => void,
  failure: StoreFailure,
): void {
  if (failure.kind !== "unavailable") return;
  reply({ code: status.UNAVAILABLE, details: failure.message });
}
