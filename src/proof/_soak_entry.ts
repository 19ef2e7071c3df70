/** Entries of a soak, as processes of their own. */
import { Child } from "../e2e/_child.ts";
import {
  type DatagramLoss,
  LOSS_FILE_VARIABLE,
  LOSS_PRELOAD,
} from "./_datagram_loss.ts";
import {
  fetchReadinessStatus,
  PortRange,
  type TcpRelay,
} from "../standin/mod.ts";

/** Ports are taken from below the ephemeral range; all entries use the same ones. */
const PORTS = PortRange.create({
  firstPort: 30_100,
  lastPort: 32_099,
  blockPorts: 20,
});
/** Longer than the deadline of the clients' requests, as on the platform. */
const GRACE_S = 8;
/** One entry; its process changes when it starts again. */
export interface SoakEntry {
  index: number;
  ipAddress: string;
  clientPort: number;
  readinessPort: number;
  link: TcpRelay;
  loss: DatagramLoss;
  child: Child;
}

/** Ports of the entries of one soak. */
export interface EntryPorts {
  client: number;
  readiness: number;
  control: number;
  peer: number;
}

/** @returns Ports that no other soak uses. */
export async function claimPorts(): Promise<EntryPorts> {
  return {
    client: await PORTS.next(),
    readiness: await PORTS.next(),
    control: await PORTS.next(),
    peer: await PORTS.next(),
  };
}

/**
 * @param entry The entry.
 * @param ports Its ports.
 * @returns Its process.
 */
export function startEntry(
  { index, ipAddress, link, loss }: Omit<SoakEntry, "child">,
  { client, readiness, control, peer }: EntryPorts,
): Child {
  const seeds = [1, 2, 3].map((host) => `127.0.1.${host}:${control}`);
  return Child.create({
    program: "router/main",
    args: [],
    preload: LOSS_PRELOAD,
    variables: {
      [LOSS_FILE_VARIABLE]: loss.path,
      CICADAHITCH_INSTANCE: `entry-${index}`,
      CICADAHITCH_ZONE: "a",
      CICADAHITCH_IP_ADDRESS: ipAddress,
      CICADAHITCH_CLIENT_ADDRESS: `${ipAddress}:${client}`,
      CICADAHITCH_READINESS_ADDRESS: `${ipAddress}:${readiness}`,
      CICADAHITCH_CONTROL_ADDRESS: `${ipAddress}:${control}`,
      CICADAHITCH_PEER_PORT: String(peer),
      CICADAHITCH_SEED_ADDRESSES: seeds.join(","),
      CICADAHITCH_STORE_ADDRESS: link.address,
      CICADAHITCH_GRACE_S: String(GRACE_S),
      CICADAHITCH_ENGINES_CHECK_FENCES: "true",
      CICADAHITCH_LOG_LEVEL: "warn",
    },
  });
}

/**
 * @param index Index of an entry.
 * @returns Its IP address.
 */
export function entryAddress(index: number): string {
  return `127.0.${1 + (index >> 7)}.${1 + (index & 127)}`;
}

/**
 * @param address An IP address.
 * @returns The entry that has it; negative if none has.
 */
export function entryIndexOf(address: string): number {
  const [, , third = 0, fourth = 0] = address.split(".").map(Number);
  return ((third - 1) << 7) + fourth - 1;
}

/**
 * @param entry An entry.
 * @returns Whether it says that it is ready.
 */
export async function isReady(entry: SoakEntry): Promise<boolean> {
  try {
    const { readinessPort, ipAddress } = entry;
    return await fetchReadinessStatus(readinessPort, ipAddress) === 200;
  } catch {
    return false;
  }
}
