/** Whether a request may be sent, or is in quarantine because servers have ended. */
import type { Verdict } from "../suspects/mod.ts";
import type { Progress } from "./attempt.ts";
import type { PartSendVerdict } from "./part_quarantine.ts";
import { RefusalReason } from "./refusal_reason.ts";

/** Assessment of a request before it is sent. */
export type SendVerdict = Verdict | PartSendVerdict;

/**
 * Records an assessment in the state of its request.
 *
 * @param verdict The assessment.
 * @param progress State of the request.
 * @returns Why the request may not be sent; undefined if it may.
 */
export function applyVerdict(
  verdict: SendVerdict,
  progress: Progress,
): RefusalReason | undefined {
  switch (verdict.kind) {
    case "clear":
      return undefined;
    case "suspected":
      progress.endedServers = verdict.endCount;
      return undefined;
    case "quarantined":
      progress.endedServers = verdict.endCount;
      progress.quarantinedForMs = verdict.leftMs;
      return RefusalReason.quarantined;
    case "part_quarantined":
    case "part_deferred":
      progress.endedServers = verdict.endCount;
      progress.quarantinedPart = verdict.part;
      progress.quarantinedForMs = verdict.leftMs;
      return RefusalReason.partQuarantined;
  }
}
