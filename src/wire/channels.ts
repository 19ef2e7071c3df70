/**
 * gRPC channels to peers, one per address: opened on demand, closed when idle, bounded in number.
 * The pool never waits for the transport to notice a dead connection: whoever sees one go silent
 * calls {@link ChannelPool.replace}.
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
  /** Most channels kept open; those used longest ago and not in use go first. */
  maxChannels?: number;
  /** A channel without a call for this long is closed, in ms. */
  idleMs?: number;
}

/** A channel to one peer, held by one user until `release`. */
export interface ChannelLease {
  readonly address: string;
  readonly agent: AgentClient;
  readonly peer: PeerClient;
  /** Gives the channel back; later calls do nothing. */
  release(): void;
}

const DEFAULT_MAX_CHANNELS = 512;
const DEFAULT_IDLE_MS = 60_000;
const SWEEP_SHARE = 4;

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

/** One open channel and the clients that share it. */
interface PooledChannel {
  address: string;
  channel: Channel;
  agent: AgentClient;
  peer: PeerClient;
  users: number;
  lastUsedMs: number;
  retired: boolean;
}

/** Keeps channels to peers. */
export class ChannelPool implements Owned {
  readonly name = "channel-pool";
  readonly #options: Required<ChannelPoolOptions>;
  /** In order of use: the first was used longest ago. */
  readonly #channels = new Map<string, PooledChannel>();
  readonly #retired = new Set<PooledChannel>();
  readonly #sweep: NodeJS.Timeout;
  #opened = 0;
  #isClosed = false;

  private constructor(options: Required<ChannelPoolOptions>) {
    this.#options = options;
    const everyMs = Math.max(options.idleMs / SWEEP_SHARE, 10);
    this.#sweep = setInterval(() => this.closeIdle(), everyMs);
    this.#sweep.unref();
  }

  /**
   * @param options Security and bounds.
   * @returns An empty pool.
   */
  static create(options: ChannelPoolOptions): ChannelPool {
    return new ChannelPool({
      maxChannels: DEFAULT_MAX_CHANNELS,
      idleMs: DEFAULT_IDLE_MS,
      ...options,
    });
  }

  /** Number of channels now open, and of all ever opened. */
  get counts(): { open: number; retired: number; opened: number } {
    return {
      open: this.#channels.size,
      retired: this.#retired.size,
      opened: this.#opened,
    };
  }

  /**
   * @param address `ip:port` of the peer.
   * @returns The channel to it, opened if there is none; release it after use.
   */
  acquire(address: string): ChannelLease {
    const pooled = this.#channels.get(address) ?? this.#open(address);
    pooled.users++;
    this.#touch(pooled);
    this.#closeSurplus();
    return leaseOf(pooled, () => this.#release(pooled));
  }

  /**
   * Opens a fresh connection in place of one that has gone silent. When somebody else has replaced
   * it already, theirs is used. Calls on the old one go on until they are cancelled.
   *
   * @param stale The lease whose connection is given up; it is released.
   * @returns A lease of a fresh channel to the same address.
   */
  replace(stale: ChannelLease): ChannelLease {
    const current = this.#channels.get(stale.address);
    if (current?.agent === stale.agent) this.#retire(current);
    stale.release();
    return this.acquire(stale.address);
  }

  /** Closes channels without users that have been idle for long enough. */
  closeIdle(): void {
    const before = this.#options.clock.nowMs() - this.#options.idleMs;
    for (const pooled of this.#channels.values()) {
      if (pooled.lastUsedMs > before) return;
      if (pooled.users === 0) this.#retire(pooled);
    }
  }

  /** Whether {@link ChannelPool.close} was called. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Closes every channel. */
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

function leaseOf(pooled: PooledChannel, giveBack: () => void): ChannelLease {
  let released = false;
  return {
    address: pooled.address,
    agent: pooled.agent,
    peer: pooled.peer,
    release() {
      if (released) return;
      released = true;
      giveBack();
    },
  };
}
