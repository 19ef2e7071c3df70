/** Logs each finished request in one line and records it in the metrics. */
import type { EntryParts } from "./entry_parts.ts";
import type { RequestFailure } from "./errors.ts";
import type { RequestRecord } from "./exchange.ts";

/**
 * @param parts Log, metrics and clock.
 * @param record Log fields of the request; contains no prompt and no API key.
 * @param options The failure that was sent to the caller, if the request was not served.
 */
export function recordRequest(
  { options, metrics }: EntryParts,
  record: RequestRecord,
  { failure }: { failure: RequestFailure | undefined },
): void {
  const { arrivedMs, startedMs, firstPieceMs, ...fields } = record;
  const outcome = failure?.code ?? "ok";
  const elapsedMs = (atMs: number | undefined) =>
    atMs === undefined ? undefined : Math.round(atMs - arrivedMs);
  const durationMs = elapsedMs(options.clock.nowMs()) ?? 0;
  const ttftMs = elapsedMs(firstPieceMs);
  const placementMs = elapsedMs(startedMs);
  metrics.record({ ...fields, outcome, durationMs, ttftMs, placementMs });
  const execution = failure?.execution;
  const times = { durationMs, ttftMs, placementMs };
  options.log.info({ ...fields, outcome, execution, ...times }, "request");
}
