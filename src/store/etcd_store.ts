/** Client of the key-value service over etcd's public gRPC API. */
import {
  type CallOptions,
  type ChannelCredentials,
  credentials,
  Metadata,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import { err, ok, type Result } from "true-myth/result";
import { type Clock, systemClock } from "../base/mod.ts";
import type {
  LeaseKeepAliveResponse,
  RangeResponse,
} from "../wire/gen/etcd.ts";
import { EtcdChannel } from "./_etcd_channel.ts";
import {
  etcdPosition,
  toCommitOutcome,
  toEntry,
  toReadFailure,
  toTxnRequest,
  toWriteFailure,
} from "./_etcd_codec.ts";
import { followRange } from "./_etcd_watch.ts";
import type { StorePosition } from "./position.ts";
import type {
  CommitOutcome,
  Expectation,
  KeyValueEntry,
  KeyValueStore,
  Listing,
  StoreFailure,
  StoreLease,
  WatchStep,
  Write,
} from "./store.ts";

/** Settings of an {@link EtcdStore}. */
export interface EtcdStoreOptions {
  /** `ip:port` of the service. */
  address: string;
  credentials: ChannelCredentials;
  /** Timeout of each call and of connecting. */
  callMs: number;
  /** Interval of a watch's progress requests; the service confirms the latest revision. */
  progressMs: number;
  /** A watch that receives no message for this long ends with a failure. */
  idleTimeoutMs: number;
  clock: Clock;
}

type Callback<T> = (error: ServiceError | null, response: T) => void;
type Send<T> = (
  channel: EtcdChannel,
  options: Partial<CallOptions>,
  done: Callback<T>,
) => void;
type ToFailure = (error: ServiceError) => StoreFailure;

const DEFAULT_OPTIONS = {
  callMs: 2000,
  progressMs: 1000,
  idleTimeoutMs: 3000,
  clock: systemClock,
};

const EMPTY = Buffer.alloc(0);
/** Range end that etcd defines as no upper bound; as a range start, the first key. */
const NO_UPPER_END = Buffer.from([0]);
const MS_PER_SECOND = 1000;

/** {@link KeyValueStore} over etcd's gRPC API. */
export class EtcdStore implements KeyValueStore {
  readonly #options: EtcdStoreOptions;
  readonly #closed = new AbortController();
  #channel: EtcdChannel;

  private constructor(options: EtcdStoreOptions) {
    this.#options = options;
    this.#channel = this.#openChannel();
  }

  /**
   * @param options Address, and settings that override the defaults.
   * @returns A store that connects on first use.
   */
  static create(
    options: Partial<EtcdStoreOptions> & { address: string },
  ): EtcdStore {
    return new EtcdStore({
      credentials: credentials.createInsecure(),
      ...DEFAULT_OPTIONS,
      ...options,
    });
  }

  async get(
    key: string,
  ): Promise<Result<KeyValueEntry | undefined, StoreFailure>> {
    const answer = await this.#range(Buffer.from(key), EMPTY);
    return answer.map(({ kvs }) => kvs[0] && toEntry(kvs[0]));
  }

  async list(prefix: string): Promise<Result<Listing, StoreFailure>> {
    const { key, rangeEnd } = prefixBytes(prefix);
    const answer = await this.#range(key, rangeEnd);
    return answer.map(({ header, kvs }) => ({
      entries: kvs.map(toEntry),
      position: etcdPosition(header?.revision ?? 0n),
    }));
  }

  async commit(
    expect: Expectation[],
    writes: Write[],
  ): Promise<Result<CommitOutcome, StoreFailure>> {
    const request = toTxnRequest(expect, writes);
    const answer = await this.#call(
      (channel, options, done: Parameters<typeof channel.kv.txn>[3]) =>
        channel.kv.txn(request, new Metadata(), options, done),
      toWriteFailure,
    );
    return answer.map(toCommitOutcome);
  }

  async *watch(
    prefix: string,
    from: StorePosition,
    signal: AbortSignal,
  ): AsyncGenerator<Result<WatchStep, StoreFailure>> {
    const channel = this.#channel;
    const deadlineMs = this.#deadlineMs();
    if (!await channel.connect(deadlineMs)) {
      this.#replaceIfTimedOut(channel, deadlineMs);
      return yield err(notConnected());
    }
    yield* followRange(channel.watch.watch(), {
      ...prefixBytes(prefix),
      fromRevision: from.revision,
      progressMs: this.#options.progressMs,
      idleTimeoutMs: this.#options.idleTimeoutMs,
      signal: AbortSignal.any([signal, this.#closed.signal]),
      onMessage: () => this.#recordReceived(channel),
      onIdleTimeout: () => this.#replaceChannel(channel),
    });
  }

  async grantLease(ttlMs: number): Promise<Result<StoreLease, StoreFailure>> {
    const TTL = BigInt(Math.ceil(ttlMs / MS_PER_SECOND));
    const answer = await this.#call(
      (
        channel,
        options,
        done: Parameters<typeof channel.lease.leaseGrant>[3],
      ) =>
        channel.lease.leaseGrant(
          { TTL, ID: 0n },
          new Metadata(),
          options,
          done,
        ),
      toWriteFailure,
    );
    return answer.map(toLease);
  }

  async renewLease(leaseId: bigint): Promise<Result<StoreLease, StoreFailure>> {
    const answer = await this.#call(
      (channel, options, done: Callback<LeaseKeepAliveResponse>) =>
        keepAliveOnce(channel, leaseId, { options, done }),
      toWriteFailure,
    );
    return answer.map(toLease);
  }

  async revokeLease(leaseId: bigint): Promise<Result<void, StoreFailure>> {
    const answer = await this.#call(
      (
        channel,
        options,
        done: Parameters<typeof channel.lease.leaseRevoke>[3],
      ) =>
        channel.lease.leaseRevoke(
          { ID: leaseId },
          new Metadata(),
          options,
          done,
        ),
      toWriteFailure,
    );
    return answer.map(() => undefined);
  }

  close(): void {
    this.#closed.abort();
    this.#channel.close();
  }

  #range(
    key: Buffer,
    rangeEnd: Buffer,
  ): Promise<Result<RangeResponse, StoreFailure>> {
    const request = { key, rangeEnd, limit: 0n, revision: 0n };
    return this.#call(
      (channel, options, done: Callback<RangeResponse>) =>
        channel.kv.range(request, new Metadata(), options, done),
      toReadFailure,
    );
  }

  async #call<T>(
    send: Send<T>,
    toFailure: ToFailure,
  ): Promise<Result<T, StoreFailure>> {
    const channel = this.#channel;
    const startMs = this.#options.clock.nowMs();
    const deadlineMs = this.#deadlineMs();
    if (this.#closed.signal.aborted) return err(notConnected());
    if (!await channel.connect(deadlineMs)) {
      this.#replaceIfTimedOut(channel, deadlineMs);
      return err(notConnected());
    }
    const answer = await sendCall(channel, send, deadlineMs);
    if (answer.isOk || answer.error.code !== status.DEADLINE_EXCEEDED) {
      this.#recordReceived(channel);
    } else if (channel.lastReceivedMs < startMs) {
      this.#replaceChannel(channel);
    }
    return answer.mapErr(toFailure);
  }

  #recordReceived(channel: EtcdChannel): void {
    channel.lastReceivedMs = this.#options.clock.nowMs();
  }

  /** Replaces a channel that neither connected nor failed before the deadline. */
  #replaceIfTimedOut(channel: EtcdChannel, deadlineMs: number): void {
    if (Date.now() >= deadlineMs) this.#replaceChannel(channel);
  }

  #replaceChannel(unresponsive: EtcdChannel): void {
    if (this.#channel !== unresponsive || this.#closed.signal.aborted) return;
    unresponsive.close();
    this.#channel = this.#openChannel();
  }

  #openChannel(): EtcdChannel {
    return EtcdChannel.create(this.#options.address, this.#options.credentials);
  }

  /** Deadline of a call that starts now, in wall-clock time as gRPC requires. */
  #deadlineMs(): number {
    return Date.now() + this.#options.callMs;
  }
}

function sendCall<T>(
  channel: EtcdChannel,
  send: Send<T>,
  deadlineMs: number,
): Promise<Result<T, ServiceError>> {
  return new Promise((resolve) => {
    send(channel, { deadline: deadlineMs }, (error, response) => {
      resolve(error ? err(error) : ok(response));
    });
  });
}

/** Renews a lease once: etcd's keep-alive is a stream, which is closed after the first response. */
function keepAliveOnce(
  channel: EtcdChannel,
  leaseId: bigint,
  call: {
    options: Partial<CallOptions>;
    done: Callback<LeaseKeepAliveResponse>;
  },
): void {
  const stream = channel.lease.leaseKeepAlive(call.options);
  stream.once("data", (response: LeaseKeepAliveResponse) => {
    call.done(null, response);
    stream.end();
  });
  stream.on("error", (error) => call.done(error as ServiceError, NO_RESPONSE));
  stream.on("end", () => call.done(unansweredError(), NO_RESPONSE));
  stream.write({ ID: leaseId });
}

function unansweredError(): ServiceError {
  const details = "The stream ended without a response";
  const metadata = new Metadata();
  const code = status.UNKNOWN;
  return Object.assign(new Error(details), { code, details, metadata });
}

const NO_RESPONSE: LeaseKeepAliveResponse = {
  header: undefined,
  ID: 0n,
  TTL: 0n,
};

function toLease(response: { ID: bigint; TTL: bigint }): StoreLease {
  const ttlMs = Math.max(0, Number(response.TTL) * MS_PER_SECOND);
  const { era } = etcdPosition(0n);
  return { leaseId: response.ID, ttlMs, era };
}

function prefixBytes(prefix: string): { key: Buffer; rangeEnd: Buffer } {
  if (prefix === "") return { key: NO_UPPER_END, rangeEnd: NO_UPPER_END };
  const key = Buffer.from(prefix);
  const rangeEnd = Buffer.from(key);
  rangeEnd[rangeEnd.length - 1]! += 1;
  return { key, rangeEnd };
}

function notConnected(): StoreFailure {
  return { kind: "unavailable", message: "Could not connect to the store" };
}
