/** The service of a {@link ServiceFleet}. */
import type { LoadStream, StreamResult } from "./_load_stream.ts";

/** Requests that a server runs at once. */
export const SLOTS = 6;
/** Requests that it queues beyond them. */
export const QUEUE = 24;
/** Mean service times of the servers. */
export const SERVICE_TIMES_MS = [70, 70, 170];
/** Service times vary by this share. */
export const SERVICE_TIME_JITTER = 0.2;
const DEADLINE_MS = 1000;

/** Requests per ms that the servers can answer. */
export const CAPACITY_PER_MS = SERVICE_TIMES_MS.reduce(
  (sum, ms) => sum + SLOTS / ms,
  0,
);
/** Units that one server, and the service, can hold. */
export const SERVER_ROOM = SLOTS + Math.ceil(SLOTS / 4);
export const ROOM = SERVICE_TIMES_MS.length * SERVER_ROOM;

/** A caller of the service. */
export interface Client {
  stream: LoadStream;
  result: StreamResult;
  startMs: number;
  retriesLeft: number;
}

/** One of its servers. */
export interface Server {
  serviceMs: number;
  /** Ends of the running requests. */
  running: { endMs: number; done(): void }[];
  queue: (() => void)[];
}

/**
 * @param stream A load.
 * @returns Time that its callers have.
 */
export function timeOf({ deadlineMs }: LoadStream): number {
  return deadlineMs ?? DEADLINE_MS;
}
