/** What clients may make an entry hold, by the memory and the descriptors of its instance. */
import { ClientMemory } from "../base/client_memory.ts";
import { shareMemory } from "../base/memory_shares.ts";
import type { Clock } from "../base/mod.ts";
import type { RouterSettings } from "./settings.ts";

/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200;
/** Part of the sockets that clients may use; the others lead to servers, the store and entries. */
const CLIENT_DESCRIPTOR_SHARE = 3 / 4;

/** Limits that are in force for all clients together. */
export interface ClientBudgets {
  /** Budget of connections and requests. */
  memory: ClientMemory;
  /** Budget of the readiness and control listeners. */
  controlMemory: ClientMemory;
  /** Most client connections that are open at the same time. */
  maxConnections: number;
  /** Most bytes of whole answers that clients have not taken. */
  maxHeldBytes: number;
  /** Most bytes of answers that servers have not completed. */
  maxAnswerBytes: number;
  /** Most unread bytes of answers that can't be paused. */
  maxUnreadBytes: number;
}

/**
 * @param settings Memory and descriptors of the instance.
 * @param clock Clock of the budget.
 * @returns The limits.
 */
export function createClientBudgets(
  { memoryBytes, maxDescriptors }: RouterSettings,
  clock: Clock,
): ClientBudgets {
  const shares = shareMemory(memoryBytes);
  const sockets = Math.max(maxDescriptors - FILE_DESCRIPTORS, 1);
  return {
    memory: ClientMemory.create({ clock, maxBytes: shares.requestBytes }),
    controlMemory: ClientMemory.create({
      clock,
      maxBytes: shares.controlBytes,
    }),
    maxConnections: Math.ceil(sockets * CLIENT_DESCRIPTOR_SHARE),
    maxHeldBytes: shares.heldBytes,
    maxAnswerBytes: shares.answerBytes,
    maxUnreadBytes: shares.unreadBytes,
  };
}
