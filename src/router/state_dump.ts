/** State of the process, for dumps: what it knows of one server. */
import type { Server } from "./server.ts";

/**
 * @param server A server.
 * @param nowMs The time.
 * @returns What is known of it.
 */
export function describeServer(server: Server, nowMs: number): unknown {
  const { entry, health, channels } = server;
  return {
    id: server.id,
    service: entry.service,
    draining: entry.draining,
    bornAtMs: entry.bornAtMs,
    weights: Object.fromEntries(entry.weights),
    load: server.load(nowMs),
    slowness: health.slowness(nowMs),
    failures: health.failures(nowMs),
    isDown: health.isDown,
    heldBack: server.isHeldBack(nowMs),
    channels: channels.opened,
  };
}
