/** How much work a service can hold before additional work only waits in it. */
import type { Server } from "./server.ts";

/** Requests that a plain server holds beside those that it runs, for each of its slots. */
const EXTRA_PER_SLOT = 0.25;
/** Load data up to this age is taken for current. */
const RECENT_LOAD_MS = 100;
/** Cost of a server that holds all its room; higher than the expected times of the others. */
const OVER_ROOM_COST_MS = 1000;

/**
 * @param server A plain server.
 * @returns Requests that it holds: one more for each four slots, so that it is not idle between an
 *   answer and the next request.
 */
export function callsHeldBy({ entry: { slots } }: Server): number {
  return slots + Math.max(1, Math.ceil(slots * EXTRA_PER_SLOT));
}

/** A plain server of a service with less room than its requests demand. */
export interface DividedCostOptions {
  /** Whether the server holds all its room. */
  isOverRoom: boolean | undefined;
  /** Age of the load data received from other entries. */
  loadAgeMs: number;
  /** Returns a number from 0 to 1. */
  random: () => number;
}

/**
 * Servers that hold all their room are chosen last: otherwise slots of slow servers stay idle while
 * requests wait at fast ones. Load data older than a call says nothing about the present, and all
 * entries would choose the same server by it; the choice is then mostly random.
 *
 * @param options The server and its load data.
 * @returns Cost in addition to the expected time.
 */
export function dividedCostMs(
  { isOverRoom, loadAgeMs, random }: DividedCostOptions,
): number {
  if (loadAgeMs > RECENT_LOAD_MS) return random() * loadAgeMs;
  return isOverRoom ? OVER_ROOM_COST_MS : 0;
}

/** How entries fill engines. */
export interface EngineFill {
  /** Delay with which entries learn of freed room. */
  reportDelayMs: number;
  /** Mean size of a prompt. */
  promptTokens: number;
}

/** Options of {@link serviceRoom}. */
export interface ServiceRoomOptions {
  nowMs: number;
  /** Undefined for plain services. */
  engines: EngineFill | undefined;
}

/**
 * @param servers Servers that accept requests.
 * @param options Current time and kind of service.
 * @returns Units that they hold: requests in flight, or prompt tokens whose answer has not begun.
 */
export function serviceRoom(
  servers: readonly Server[],
  { nowMs, engines }: ServiceRoomOptions,
): number {
  let room = 0;
  for (const server of servers) {
    if (server.health.isDown || server.isHeldBack(nowMs)) continue;
    room += engines
      ? tokensHeldBy(server, engines, nowMs)
      : callsHeldBy(server);
  }
  return room;
}

/**
 * An engine prefills without a pause if it holds the prompt that it reads, those whose first token is
 * being made, and what it reads until the entries learn that it has room again.
 */
function tokensHeldBy(
  server: Server,
  { reportDelayMs, promptTokens }: EngineFill,
  nowMs: number,
): number {
  const { rates } = server.times;
  const firstTokenMs = rates.baseMs * server.times.factor(nowMs);
  const delayedMs = reportDelayMs + firstTokenMs;
  return promptTokens + server.tokensPerMs(nowMs) * delayedMs;
}
