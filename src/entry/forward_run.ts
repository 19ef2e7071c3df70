/** Forwards the events of one run attempt from its agent to the caller. */
import type { Refusal, RunEnd, RunStarted } from "../wire/gen/cicadahitch.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { RunLoss } from "./run_events.ts";
import type { RunStream } from "./run_stream.ts";

/** How an attempt ended. */
export type AttemptOutcome =
  /** The agent ended the run, successfully or not. */
  | { kind: "ended"; end: RunEnd }
  | { kind: "refused"; refusal: Refusal }
  | { kind: "lost"; loss: RunLoss }
  /** The agent did not respond in time; the stream can still be read. */
  | { kind: "silent"; silences: number };

/** Receives the progress of an attempt. */
export interface AttemptObserver {
  onStarted(started: RunStarted): void;
  onPieces(): void;
}

/**
 * Forwards a run to the caller until the run ends or its agent does not respond in time.
 *
 * @param stream The run's events.
 * @param sink The caller's response.
 * @param observer Receives the attempt's progress.
 * @returns How the attempt ended; all pieces received by then have been written to the sink.
 */
export async function forwardRun(
  stream: RunStream,
  sink: AnswerSink,
  observer: AttemptObserver,
): Promise<AttemptOutcome> {
  for (;;) {
    const event = await stream.next();
    switch (event.kind) {
      case "started":
        observer.onStarted(event.started);
        break;
      case "head":
        sink.head(event.head);
        break;
      case "pieces": {
        observer.onPieces();
        const drained = sink.pieces(event.data);
        if (drained) await drained;
        stream.markConsumed();
        break;
      }
      case "end":
        return { kind: "ended", end: event.end };
      case "refused":
        return { kind: "refused", refusal: event.refusal };
      case "lost":
        return { kind: "lost", loss: event.loss };
      case "silent":
        return event;
    }
  }
}
