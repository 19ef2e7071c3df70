/** How much work a service can hold before additional work only waits in it. */
import type { Server } from "./server.ts";

/** Requests that a plain server holds beside those that it runs, for each of its slots. */
const EXTRA_PER_SLOT = 0.25;
/** Tokens that an engine prefills per ms, as placement assumes. */
const PREFILL_TOKENS_PER_MS = 80;

/**
 * @param server A plain server.
 * @returns Requests that it holds: one more for each four slots, so that it is not idle between an
 *   answer and the next request.
 */
export function callsHeldBy({ entry: { slots } }: Server): number {
  return slots + Math.max(1, Math.ceil(slots * EXTRA_PER_SLOT));
}

/** Options of {@link serviceRoom}. */
export interface ServiceRoomOptions {
  nowMs: number;
  /** Time whose prefills an engine may hold; undefined for plain services. */
  windowMs: number | undefined;
}

/**
 * @param servers Servers that accept requests.
 * @param options Current time and kind of service.
 * @returns Units that they hold: requests in flight, or prompt tokens whose answer has not begun.
 */
export function serviceRoom(
  servers: readonly Server[],
  { nowMs, windowMs }: ServiceRoomOptions,
): number {
  let room = 0;
  for (const server of servers) {
    if (server.health.isDown || server.isHeldBack(nowMs)) continue;
    room += windowMs === undefined
      ? callsHeldBy(server)
      : tokensPerMs(server, nowMs) * windowMs;
  }
  return room;
}

function tokensPerMs({ health }: Server, nowMs: number): number {
  return PREFILL_TOKENS_PER_MS / health.slowness(nowMs);
}
