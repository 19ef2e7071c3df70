/** Failures of calls to the platform's store. */
import { Result } from "true-myth";
import type { StoreFailure } from "../store/store.ts";
import type { CallFailure } from "./http_call.ts";

/** Parses an answer. A malformed one counts as missing, so a write's effect is unknown. */
export function tryParse<T>(parse: () => T): Result<T, StoreFailure> {
  try {
    return Result.ok(parse());
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return Result.err({ kind: "effect_unknown", message });
  }
}

/** The store guarantees that a refused call had no effect. */
export function refusalFailure(status: number): StoreFailure {
  return { kind: "unavailable", message: `Refused with status ${status}` };
}

/** @returns The failure of a read. */
export function readFailure(failure: CallFailure): StoreFailure {
  return { kind: "unavailable", message: failure.message };
}

/** @returns The failure of a write. */
export function writeFailure(failure: CallFailure): StoreFailure {
  const kind = failure.kind === "unreachable"
    ? "unavailable"
    : "effect_unknown";
  return { kind, message: failure.message };
}

/** @returns The failure of a read whose answer was overtaken by one of a newer era. */
export function overtakenFailure(era: number): StoreFailure {
  return {
    kind: "unavailable",
    message: `Answer is of the earlier era ${era}`,
  };
}
