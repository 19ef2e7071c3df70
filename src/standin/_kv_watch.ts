/** Serves an etcd watch stream that carries a single watch. */
import type { ServerDuplexStream } from "@grpc/grpc-js";
import type { RevisionTable } from "../store/mod.ts";
import type {
  Event,
  WatchCreateRequest,
  WatchRequest,
  WatchResponse,
} from "../wire/gen/etcd.ts";
import { toEvent, toHeader, toRange } from "./_kv_codec.ts";

type WatchStream = ServerDuplexStream<WatchRequest, WatchResponse>;

const WATCH_ID = 1n;
/** Watch id of etcd's progress responses, which apply to all watches of the stream. */
const ALL_WATCHES = -1n;

/**
 * Serves a watch until the client cancels it or ends the stream.
 *
 * @param stream Stream of the client.
 * @param table Table to watch.
 * @param isSilent Returns true while the server must not respond; the watch then stops for good, but
 * its stream stays open.
 */
export function serveWatch(
  stream: WatchStream,
  table: RevisionTable,
  isSilent: () => boolean,
): void {
  let unsubscribe = () => {};
  const respond = (response: Partial<WatchResponse>) => {
    // Resuming after skipped events would violate the gapless order that a watch guarantees.
    if (isSilent()) return unsubscribe();
    stream.write(toResponse(table.revision, response));
  };
  const end = () => {
    unsubscribe();
    stream.end();
  };
  stream.on("error", () => unsubscribe());
  stream.on("cancelled", end);
  stream.on("end", end);
  stream.on("data", ({ requestUnion }: WatchRequest) => {
    switch (requestUnion?.$case) {
      case "createRequest":
        unsubscribe = createWatch(requestUnion.value, table, respond);
        return;
      case "progressRequest":
        return respond({ watchId: ALL_WATCHES });
      case "cancelRequest":
      case undefined:
        return end();
    }
  });
}

function createWatch(
  request: WatchCreateRequest,
  table: RevisionTable,
  respond: (response: Partial<WatchResponse>) => void,
): () => void {
  const { startRevision } = request;
  if (startRevision !== 0n && startRevision <= table.compactedRevision) {
    const compactRevision = table.compactedRevision + 1n;
    respond({ created: true });
    respond({ canceled: true, compactRevision, cancelReason: "Compacted" });
    return () => {};
  }
  respond({ created: true });
  const range = toRange(request.key, request.rangeEnd);
  return table.subscribe(range, startRevision, (changes) => {
    respond({ events: changes.map(toEvent) });
  });
}

function toResponse(
  revision: bigint,
  response: Partial<WatchResponse>,
): WatchResponse {
  const events: Event[] = [];
  return {
    header: toHeader(revision),
    watchId: WATCH_ID,
    created: false,
    canceled: false,
    compactRevision: 0n,
    cancelReason: "",
    events,
    ...response,
  };
}
