/** Parts of a datagram whose change makes the next one due. */
import type { Datagram } from "./peer_datagram.ts";

/** Texts that differ if, and only if, the parts of two datagrams differ. */
export interface DatagramParts {
  /** All parts but those that change with time alone. */
  content: string;
  /** Parts that keep requests off servers. */
  urgent: string;
}

/**
 * @param datagram The next datagram.
 * @param leaving Ids of the servers that it announces as leaving.
 * @returns Its parts.
 */
export function changesIn(
  datagram: Datagram,
  leaving: readonly string[],
): DatagramParts {
  const content = JSON.stringify({
    ...datagram,
    ageMs: 0,
    lagMs: undefined,
    confirmed: undefined,
    storeServedMs: undefined,
    named: [],
    software: undefined,
  });
  const urgent = JSON.stringify([
    datagram.software?.map(([service, version]) => [service, version]),
    datagram.heldBack,
    datagram.silent,
    datagram.gone,
    datagram.weights,
    leaving,
    datagram.stopping,
  ]);
  return { content, urgent };
}
