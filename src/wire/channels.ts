/**
 * Pool of gRPC channels to peers, one per address: opened on demand, closed when idle, bounded in
 * number. The pool does not wait for the transport to detect a dead connection: a caller whose
 * connection stops responding calls {@link ChannelPool.replace}.
 */
import { Channel, type ChannelOptions } from "@grpc/grpc-js";
import type { Clock, Owned } from "../base/mod.ts";
import { channelCredentials, clientInterceptors } from "./credentials.ts";
import { AgentClient, PeerClient } from "./gen/cicadahitch.ts";
import { MAX_MESSAGE_BYTES } from "./listener.ts";
import type { WireSecurity } from "./security.ts";

/** Settings of a {@link ChannelPool}. */
export interface ChannelPoolOptions {
  security: WireSecurity;
  clock: Clock;
  /**
   * Maximum number of open channels; the least recently used ones without users are closed first.
   */
  maxChannels?: number;
  /** An unused channel is closed after this time, in ms. */
  idleMs?: number;
}

/** A user's reference to the channel to one peer, valid until `release`. */
export interface ChannelLease {
  readonly address: string;
  readonly agent: AgentClient;
  readonly peer: PeerClient;
  /** Returns the channel to the pool; further calls have no effect. */
  release(): void;
}

const DEFAULT_MAX_CHANNELS = 512;
const DEFAULT_IDLE_MS = 60_000;
/** Checks for idle channels per idle time. */
const SWEEPS_PER_IDLE_TIME = 4;

const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_retries": 0,
  "grpc.enable_channelz": 0,
  "grpc.enable_http_proxy": 0,
  "grpc.service_config_disable_resolution": 1,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 2000,
  "grpc.keepalive_time_ms": 15_000,
  "grpc.keepalive_timeout_ms": 5000,
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
};

/** An open channel and the clients that share it. */
interface PooledChannel {
  address: string;
  channel: Channel;
  agent: AgentClient;
  peer: PeerClient;
  users: number;
  lastUsedMs: number;
  retired: boolean;
}

/** Pool of channels to peers. */
export class ChannelPool implements Owned {
  readonly name = "channel-pool";
  readonly #options: Required<ChannelPoolOptions>;
  /** By address, least recently used first. */
  readonly #channels = new Map<string, PooledChannel>();
  readonly #retired = new Set<PooledChannel>();
  readonly #sweep: NodeJS.Timeout;
  #opened = 0;
  #isClosed = false;

  private constructor(options: Required<ChannelPoolOptions>) {
    this.#options = options;
    const sweepIntervalMs = Math.max(options.idleMs / SWEEPS_PER_IDLE_TIME, 10);
    this.#sweep = setInterval(() => this.closeIdle(), sweepIntervalMs);
    this.#sweep.unref();
  }

  /**
   * @param options Security, clock and limits.
   * @returns An empty pool.
   */
  static create(options: ChannelPoolOptions): ChannelPool {
    return new ChannelPool({
      maxChannels: DEFAULT_MAX_CHANNELS,
      idleMs: DEFAULT_IDLE_MS,
      ...options,
    });
  }

  /**
   * Number of channels in the pool, of replaced channels still in use, and of all channels opened
   * so far.
   */
  get counts(): { open: number; retired: number; opened: number } {
    return {
      open: this.#channels.size,
      retired: this.#retired.size,
      opened: this.#opened,
    };
  }

  /**
   * Acquires the channel to a peer, opening it if necessary.
   *
   * @param address `ip:port` of the peer.
   * @returns The channel; release it after use.
   */
  acquire(address: string): ChannelLease {
    const pooled = this.#channels.get(address) ?? this.#open(address);
    pooled.users++;
    this.#touch(pooled);
    this.#closeSurplus();
    return createLease(pooled, () => this.#release(pooled));
  }

  /**
   * Replaces a channel whose connection no longer responds. If another user has already replaced
   * it, that new channel is used. Calls on the old channel continue until they are cancelled.
   *
   * @param stale Lease of the channel to replace; it is released.
   * @returns A lease of the new channel to the same address.
   */
  replace(stale: ChannelLease): ChannelLease {
    const current = this.#channels.get(stale.address);
    if (current?.agent === stale.agent) this.#retire(current);
    stale.release();
    return this.acquire(stale.address);
  }

  /** Closes channels without users that have been idle for `idleMs`. */
  closeIdle(): void {
    const cutoffMs = this.#options.clock.nowMs() - this.#options.idleMs;
    for (const pooled of this.#channels.values()) {
      if (pooled.lastUsedMs > cutoffMs) return;
      if (pooled.users === 0) this.#retire(pooled);
    }
  }

  /** Whether {@link ChannelPool.close} was called. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Closes all channels. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#sweep);
    for (const pooled of this.#channels.values()) pooled.channel.close();
    for (const pooled of this.#retired) pooled.channel.close();
    this.#channels.clear();
    this.#retired.clear();
  }

  #open(address: string): PooledChannel {
    const credentials = channelCredentials(this.#options.security);
    const channel = new Channel(address, credentials, CHANNEL_OPTIONS);
    const options = {
      channelOverride: channel,
      interceptors: clientInterceptors(this.#options.security),
    };
    const pooled = {
      address,
      channel,
      agent: new AgentClient(address, credentials, options),
      peer: new PeerClient(address, credentials, options),
      users: 0,
      lastUsedMs: 0,
      retired: false,
    };
    this.#channels.set(address, pooled);
    this.#opened++;
    return pooled;
  }

  #touch(pooled: PooledChannel): void {
    pooled.lastUsedMs = this.#options.clock.nowMs();
    if (pooled.retired) return;
    this.#channels.delete(pooled.address);
    this.#channels.set(pooled.address, pooled);
  }

  #release(pooled: PooledChannel): void {
    pooled.users--;
    this.#touch(pooled);
    if (!pooled.retired || pooled.users > 0) return;
    this.#retired.delete(pooled);
    pooled.channel.close();
  }

  #retire(pooled: PooledChannel): void {
    pooled.retired = true;
    this.#channels.delete(pooled.address);
    if (pooled.users === 0) pooled.channel.close();
    else this.#retired.add(pooled);
  }

  #closeSurplus(): void {
    let surplus = this.#channels.size - this.#options.maxChannels;
    for (const pooled of this.#channels.values()) {
      if (surplus <= 0) return;
      if (pooled.users > 0) continue;
      this.#retire(pooled);
      surplus--;
    }
  }
}

function createLease(
  pooled: PooledChannel,
  onRelease: () => void,
): ChannelLease {
  let released = false;
  return {
    address: pooled.address,
    agent: pooled.agent,
    peer: pooled.peer,
    release() {
      if (released) return;
      released = true;
      onRelease();
    },
  };
}
