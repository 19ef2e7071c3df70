/** gRPC channel to the key-value service, replaced when its connection stops responding. */
import {
  Channel,
  type ChannelCredentials,
  connectivityState,
} from "@grpc/grpc-js";
import { KVClient, LeaseClient, WatchClient } from "../wire/gen/etcd.ts";

/** Keepalive pings bound how long an unresponsive connection stays open after its replacement. */
const KEEPALIVE_MS = 5000;
const KEEPALIVE_TIMEOUT_MS = 2000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1000;

const CHANNEL_OPTIONS = {
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_retries": 0,
  "grpc.enable_http_proxy": 0,
  "grpc.service_config_disable_resolution": 1,
  "grpc.max_receive_message_length": -1,
  "grpc.keepalive_time_ms": KEEPALIVE_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  "grpc.initial_reconnect_backoff_ms": MIN_BACKOFF_MS,
  "grpc.min_reconnect_backoff_ms": MIN_BACKOFF_MS,
  "grpc.max_reconnect_backoff_ms": MAX_BACKOFF_MS,
};

/** A gRPC channel and the clients that use it. */
export class EtcdChannel {
  readonly kv: KVClient;
  readonly lease: LeaseClient;
  readonly watch: WatchClient;
  /** Time at which the service last sent a message or an error. */
  lastReceivedMs = 0;
  readonly #channel: Channel;

  private constructor(address: string, credentials: ChannelCredentials) {
    this.#channel = new Channel(address, credentials, CHANNEL_OPTIONS);
    const options = { channelOverride: this.#channel };
    this.kv = new KVClient(address, credentials, options);
    this.lease = new LeaseClient(address, credentials, options);
    this.watch = new WatchClient(address, credentials, options);
  }

  /**
   * @param address `ip:port` of the service.
   * @param credentials Credentials of the connection.
   * @returns A channel that connects on first use.
   */
  static create(address: string, credentials: ChannelCredentials): EtcdChannel {
    return new EtcdChannel(address, credentials);
  }

  /**
   * Connects if necessary. If this fails, the caller's request was certainly not sent.
   *
   * @param deadlineMs Time to give up, in wall-clock ms.
   * @returns Whether the channel is connected.
   */
  async connect(deadlineMs: number): Promise<boolean> {
    let state = this.#channel.getConnectivityState(true);
    while (state !== connectivityState.READY) {
      const hasFailed = state === connectivityState.TRANSIENT_FAILURE;
      if (hasFailed || state === connectivityState.SHUTDOWN) return false;
      if (!await this.#waitForChange(state, deadlineMs)) return false;
      state = this.#channel.getConnectivityState(true);
    }
    return true;
  }

  /** Rejects new calls; calls in flight may complete. */
  close(): void {
    this.#channel.close();
  }

  #waitForChange(
    state: connectivityState,
    deadlineMs: number,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      this.#channel.watchConnectivityState(
        state,
        deadlineMs,
        (error) => resolve(error === undefined),
      );
    });
  }
}
