/** Everything by which this entry and the others talk to each other in datagrams. */
import { isStart } from "../store/position.ts";
import type { Lifecycle, Metrics } from "../base/mod.ts";
import { EntryMembers } from "./entry_members.ts";
import type { StoreMirror } from "./mirror.ts";
import { encodeOriginMessage, isOriginDatagram } from "./origin_message.ts";
import { PeerGossip, type PeerGossipOptions } from "./peer_gossip.ts";
import { PeerLags } from "./peer_lags.ts";
import { PeerSocket } from "./peer_socket.ts";
import { encodePermitMessage, isPermitDatagram } from "./permit_message.ts";
import { Permits } from "./permits.ts";
import { RateAnnouncements } from "./rate_announcements.ts";
import type { Server } from "./server.ts";
import type { SoftwareCheck } from "./software_check.ts";
import { StreamOrigins } from "./stream_origins.ts";

/** Options of a {@link PeerNetwork}. */
export interface PeerNetworkOptions extends
  Omit<
    PeerGossipOptions,
    "socket" | "members" | "lags" | "rates" | "knownAddresses"
  > {
  /** Port of all entries. */
  port: number;
  metrics: Metrics;
  /** The local copy of the store. */
  mirror: Pick<StoreMirror, "ageMs">;
  /** Asks the store for the software versions of services. */
  check: SoftwareCheck;
  /** Time that requests wait before this process reads them. */
  lagMs(): number;
  /** IP addresses of the configured seeds; a seed may have gone. */
  seedAddresses: string[];
  /** IP addresses of the registered entries. */
  registeredAddresses(): string[];
}

/** Gossip, permits and origins of streams, on one socket. */
export class PeerNetwork {
  readonly gossip: PeerGossip;
  readonly permits: Permits;
  readonly origins: StreamOrigins;
  readonly lags: PeerLags;
  readonly #socket: PeerSocket;
  readonly #members: EntryMembers;
  readonly #rates: RateAnnouncements;

  private constructor(options: PeerNetworkOptions) {
    const { ipAddress, seedAddresses, registeredAddresses } = options;
    const { fleet, clock } = options;
    this.#socket = PeerSocket.create(options);
    this.lags = PeerLags.create(options);
    this.#members = EntryMembers.create({
      ownAddress: ipAddress,
      registeredAddresses,
    });
    this.permits = Permits.create({
      ...options,
      members: this.#members,
      ownAddress: ipAddress,
      send: (address, message) =>
        this.#socket.send(address, encodePermitMessage(message)),
    });
    this.origins = StreamOrigins.create({
      ...options,
      members: this.#members,
      versions: fleet.versions,
      storeCopyAgeMs: () => options.mirror.ageMs,
      send: (address, message) =>
        this.#socket.send(address, encodeOriginMessage(message)),
    });
    this.#rates = RateAnnouncements.create({
      clock,
      fleet,
      mayGrantFor: (server) => this.permits.mayGrantFor(server),
    });
    this.gossip = PeerGossip.create({
      ...options,
      socket: this.#socket,
      members: this.#members,
      lags: this.lags,
      rates: this.#rates,
      knownAddresses: () => [...seedAddresses, ...registeredAddresses()],
      onPeerSyncState: (peer, syncState) => {
        // An entry that has just started knows nothing of the store yet.
        if (isStart(syncState.position)) this.origins.tellStarted(peer);
        options.onPeerSyncState(peer, syncState);
      },
    });
  }

  /**
   * @param options Own address, and the sources and receivers of the exchanged state.
   * @returns A network whose socket is not open yet.
   */
  static create(options: PeerNetworkOptions): PeerNetwork {
    return new PeerNetwork(options);
  }

  /** @param server A server whose answer has changed the rate that it takes. */
  announceRate(server: Server): void {
    this.#rates.announce(server);
  }

  /** Leaves to the other entries what this one does for all of them, because it stops. */
  handOver(): void {
    this.#members.stop();
    this.origins.handOver();
  }

  /** @param lifecycle Owns the socket and the task that sends datagrams. */
  open(lifecycle: Lifecycle): void {
    lifecycle.own({ name: "permits", close: () => this.permits.close() });
    lifecycle.own({ name: "origins", close: () => this.origins.close() });
    lifecycle.own({ name: "peer_socket", close: () => this.#socket.close() });
    this.#socket.listen((bytes, address) => {
      if (isPermitDatagram(bytes)) this.permits.receive(address, bytes);
      else if (isOriginDatagram(bytes)) this.origins.receive(address, bytes);
      else this.gossip.receive(bytes, address);
    });
    lifecycle.task("peers", (signal) => this.gossip.run(signal));
  }
}
