/** The sample team of `cicadahitch dev` and of tests that start processes. */
import { createHash } from "node:crypto";
import { BRANCH_FORMAT, type TeamBranch } from "../config/branch.ts";

/** Name of the sample team. */
export const SAMPLE_TEAM = "sample";
/** Caller key of the sample team; like all keys in this file, for development only. */
export const SAMPLE_CALLER_KEY = "sample.notes.only-for-development";
/** Key of the administration API. */
export const SAMPLE_ADMIN_KEY = "admin-only-for-development";
/** The only model that the stand-in engines serve. */
export const SAMPLE_MODEL = "notes";
/** Pools of the sample team; `bookings` names both the plain service and its pool. */
export const SAMPLE_POOLS = { engines: "notes", bookings: "bookings" } as const;

/**
 * @param text Text to hash, such as a key.
 * @returns The SHA-256 digest in hex.
 */
export function sha256Hex(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** @returns The configuration branch of the sample team. */
export function sampleBranch(): TeamBranch {
  const { engines, bookings } = SAMPLE_POOLS;
  return {
    format: BRANCH_FORMAT,
    models: {
      [SAMPLE_MODEL]: {
        pool: engines,
        weightsVersion: "1",
        adapters: {},
        minReplicas: 1,
      },
    },
    pools: {
      [engines]: { kind: "engine", fencing: "enforced" },
      [bookings]: { kind: "service", fencing: "ignored" },
    },
    services: {
      [bookings]: {
        pool: bookings,
        timeoutMs: 10_000,
        repeatable: [{ method: "GET", pathPrefix: "/" }],
        whenStoreDown: "refuse",
        retryWindowMs: 600_000,
      },
    },
    classes: {
      desk: { priority: "urgent", deadlineMs: 30_000, recomputePriceMs: 0.3 },
      review: { priority: "batch", deadlineMs: 600_000, recomputePriceMs: 1 },
    },
    workspaces: {
      notes: {
        keys: [{ id: "dev", sha256: sha256Hex(SAMPLE_CALLER_KEY) }],
        defaultClass: "desk",
      },
    },
    limits: {
      maxInFlight: 1000,
      tokensPerSecond: 1_000_000,
      maxBodyBytes: 4 * 1024 * 1024,
      retryShare: 0.1,
    },
  };
}
