/** Divides the memory of an instance into what clients can make its process hold. */

/** Bytes of a megabyte. */
export const BYTES_PER_MB = 1024 * 1024;
const MB = BYTES_PER_MB;

/** A process without clients, and memory that was freed and is not collected yet. */
export const ProcessBytes = {
  /** The bundled router. */
  router: 104 * MB,
  /** An entry or all daemons together, whose libraries are larger. */
  daemon: 200 * MB,
} as const;

/** Least memory for clients, on instances that are smaller than the process needs. */
const MIN_CLIENT_BYTES = 32 * MB;
/** For readiness checks, operators and other entries; taken from the process's own. */
const CONTROL_BYTES = 8 * MB;
/** Parts of the memory for clients. */
const REQUEST_SHARE = 1 / 3;
const ANSWER_SHARE = 1 / 3;
const HELD_SHARE = 1 / 6;
const UNREAD_SHARE = 1 / 6;
/** Part of an entry with its own interface for connections and requests; the rest is for parsing. */
const DAEMON_REQUEST_SHARE = 0.5;
/** The router's connections and requests are mostly objects, for which its heap has a limit. */
const MAX_ROUTER_REQUEST_BYTES = 40 * MB;
/** Four, three and two of the largest answers. */
const MAX_ANSWER_BYTES = 64 * MB;
const MAX_HELD_BYTES = 48 * MB;
const MAX_UNREAD_BYTES = 32 * MB;

/** Memory of the smallest entry instances on the users' platform. */
export const DEFAULT_INSTANCE_BYTES = 200 * MB;

/** Memory of an instance with its own interface, unless a setting says otherwise. */
export const DAEMON_INSTANCE_BYTES = 512 * MB;

/** Most bytes that a process holds for all clients, by what they are. */
export interface MemoryShares {
  /** Connections, heads and bodies of requests. */
  requestBytes: number;
  /** Connections, requests and untaken answers of the readiness and control listeners. */
  controlBytes: number;
  /** Answers that servers have not completed. */
  answerBytes: number;
  /** Whole answers that clients have not taken. */
  heldBytes: number;
  /** Parts of answers that can't be paused, and that clients have not taken. */
  unreadBytes: number;
}

/**
 * @param instanceBytes Memory of the instance.
 * @returns The shares, which add up to no more than the instance has beside the process.
 */
export function shareMemory(instanceBytes: number): MemoryShares {
  const clientBytes = Math.max(
    MIN_CLIENT_BYTES,
    instanceBytes - ProcessBytes.router,
  );
  return {
    requestBytes: Math.min(
      MAX_ROUTER_REQUEST_BYTES,
      clientBytes * REQUEST_SHARE,
    ),
    controlBytes: CONTROL_BYTES,
    answerBytes: Math.min(MAX_ANSWER_BYTES, clientBytes * ANSWER_SHARE),
    heldBytes: Math.min(MAX_HELD_BYTES, clientBytes * HELD_SHARE),
    unreadBytes: Math.min(MAX_UNREAD_BYTES, clientBytes * UNREAD_SHARE),
  };
}

/**
 * @param instanceBytes Memory of the instance that an entry with its own interface runs on.
 * @returns Most bytes that it holds for connections and requests; parsed answers are bounded by windows.
 */
export function daemonRequestBytes(instanceBytes: number): number {
  const clientBytes = instanceBytes - ProcessBytes.daemon;
  return Math.max(MIN_CLIENT_BYTES, clientBytes * DAEMON_REQUEST_SHARE);
}

/** Shares of {@link DEFAULT_INSTANCE_BYTES}. */
export const DEFAULT_SHARES = shareMemory(DEFAULT_INSTANCE_BYTES);
