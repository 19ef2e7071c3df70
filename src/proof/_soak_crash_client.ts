/** Clients of a soak whose requests have a part in their prompts that crashes servers. */
import { setTimeout as sleep } from "node:timers/promises";
import {
  MODEL_REQUEST_HEADERS,
  sendClientRequest,
  toRequestHeaders,
} from "../standin/mod.ts";
import type { ClientTarget } from "./_soak_client.ts";
import type { CrashingRequest } from "./_soak_history.ts";

/** Id of the part. */
export const CRASHING_PART = "bad0";
const PAUSE_MS = 150;
const DEADLINE_MS = 3000;
const PATHS = ["/once/", "/stream/"];
/** Parts that sound requests have, too, in front of the part. */
const FRONT_PARTS = [[], ["aa:1000"]];

/** Options of {@link sendCrashingRequests}. */
export interface CrashingRequestsOptions {
  entries: readonly ClientTarget[];
  random: () => number;
  /** Receives each request that is sent. */
  records: CrashingRequest[];
  forMs: number;
}

/**
 * Sends requests to random entries, no two alike, and ignores their answers.
 *
 * @param options Entries, randomness and records.
 */
export async function sendCrashingRequests(
  { entries, random, records, forMs }: CrashingRequestsOptions,
): Promise<void> {
  const pick = <T>(items: readonly T[]) =>
    items[Math.floor(random() * items.length)]!;
  const endMs = performance.now() + forMs;
  for (let i = 0; performance.now() < endMs; i++) {
    const target = pick(entries);
    const id = `${CRASHING_PART}-${i}`;
    const parts = [...pick(FRONT_PARTS), `${CRASHING_PART}:100`, `own${i}:50`];
    records.push({ id, entry: target.index, sentAtMs: performance.now() });
    const headers = {
      ...MODEL_REQUEST_HEADERS,
      ...toRequestHeaders({ id, timeMs: DEADLINE_MS, parts }),
    };
    // The entry may be down.
    sendClientRequest(target, pick(PATHS) + id, headers).catch(() => {});
    await sleep(PAUSE_MS);
  }
}
