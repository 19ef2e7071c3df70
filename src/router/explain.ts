/** Collects the log lines of all entries about one request and summarizes how the request ended. */
import { ResendRefusal } from "./request.ts";

/** One parsed log line. */
export interface LogLine {
  /** In ms since 1970. */
  time: number;
  /** Id of the process that wrote the line. */
  processId: string;
  event: string;
  /** All fields of the line. */
  fields: Record<string, unknown>;
}

/** Log lines and outcome of one request. */
export interface Explanation {
  /** Lines with the request's id, by time. */
  lines: LogLine[];
  /** Lines about its servers, its entries and its other attempts, by time. */
  context: LogLine[];
  /** Summary of how the request ended; absent if no line says so. */
  outcome?: string;
}

/** Lines about servers and entries are included up to this long before and after the request. */
const CONTEXT_MS = 5000;
/** Fields that every line has; they are not printed again. */
const COMMON_FIELDS = new Set([
  "level",
  "time",
  "role",
  "processId",
  "event",
  "id",
]);
/** Events of a whole process that may affect the outcome of a request. */
const PROCESS_EVENTS = new Set([
  "config_in_force",
  "listening",
  "log_lines_left_out",
  "stopping",
  "store_era_changed",
  "store_history_gone",
  "store_lost",
  "store_regained",
]);

/** Events about single requests; those of other requests are left out of the context. */
const OTHER_REQUEST_EVENTS = new Set(["request", "run_moved", "run_restored"]);

/** Descriptions of the reasons in request log lines. */
const REASONS: Record<string, string> = {
  aborted: "a shutdown closed its connection before its answer was complete",
  answer_too_large: "the server's answer was larger than the router relays",
  answer_without_head: "the server sent a body without a head",
  client_gone: "its client disconnected before it was served",
  cut_event: "the stream ended in the middle of an event",
  empty_stream: "the stream ended without any event",
  encoded_answer: "the server encoded a body that nobody asked it to encode",
  events_out_of_order: "the server sent events that don't follow the last one",
  expired: "its deadline had passed before the entry handled it",
  foreign_answer: "the server sent the answer to another request",
  headers_too_large: "the request's headers exceeded the configured limit",
  process_unknown:
    "its server could not go on with the stream: its process may be another one than the registered one",
  engine_replaced: "its engine had started again, so that its run was lost",
  deadline: "its deadline passed before the answer was complete",
  no_event: "its stream paused, and another server could continue it",
  no_head: "no answer began in time, and another server could be asked",
  no_connection: "no connection to the server was made in time",
  no_room: "its service had no room to serve it in time",
  no_server: "no server of the service takes requests",
  not_ready: "the entry knew no configuration yet",
  other_weights: "the server had other weights by then",
  over_quota: "its workspace had exceeded its quota",
  overloaded: "the entry was overloaded and read requests late",
  over_rate: "all servers of the service had reached the rate that they take",
  paused: "all servers of the service had asked for a pause",
  quarantined:
    "three servers or more had ended while running it, so it is in quarantine",
  part_quarantined:
    "five servers or more had ended while running requests with a part of its prompt, so the part is in quarantine",
  run_stopped: "the run was stopped to move it, and could not be copied",
  server_ended:
    "the server's answer had no length and ended with its connection as the server crashed",
  shutdown: "the entry's shutdown left it no more time",
  stopping: "the entry was stopping",
  too_large: "the body exceeded the configured limit",
  too_late:
    "its answer would have missed its deadline, so it was refused at once",
  unknown_key: "no workspace has the key",
  unknown_route: "no route matches its host and path",
  unsigned_answer: "the server did not sign its answer",
  unsure:
    "the route or key was unknown, and the entry's configuration may be outdated",
  version_unknown:
    "its service has several software versions, and which of them began its stream is unknown",
  version_gone: "no server had the software version that had begun its stream",
  waited: "it waited for room, and could not be served in time any more",
  weights_retired:
    "its engine's weights were replaced too long ago to start an answer",
  wrong_server: "another server had the address",
};

/** Descriptions of the reasons why a request was not sent again. */
const RESEND_REFUSALS: Record<string, string> = {
  [ResendRefusal.notRepeatable]: "it may not run twice",
  [ResendRefusal.attemptsUsed]: "its route allows no further attempt",
  [ResendRefusal.endUndecided]:
    "its route allows no further attempt, unless a server has just ended",
  [ResendRefusal.sendsUsed]: "it had been sent the maximum number of times",
  [ResendRefusal.noTime]: "no time was left",
  [ResendRefusal.noBudget]: "the resend budget was used up",
  [ResendRefusal.noServer]: "no other server could take it",
  [ResendRefusal.versionGone]:
    "all servers had another software version than the one that began it",
  [ResendRefusal.versionUnknown]: "which software began it is unknown",
  [ResendRefusal.quarantined]: "servers had ended while running it",
};

/** Descriptions of the outcomes of lost runs that had a backup. */
const RESTORES: Record<string, string> = {
  continued: "continued from its backup",
  no_copy: "did not continue: the engine with its backup had no copy",
  unreachable: "did not continue: the engine with its backup was unreachable",
  failed:
    "did not continue: the engine with its backup did not begin to stream",
  not_sent:
    "did not continue: it could not be sent to the engine with its backup",
};

/**
 * @param text A line of a log; any text before its JSON is ignored.
 * @returns The parsed line; undefined if it was not written by an entry.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  let parsed: Record<string, unknown>;
  try {
    parsed = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  const { time, processId, event } = parsed;
  if (typeof time !== "number" || typeof event !== "string") return undefined;
  return { time, processId: String(processId ?? ""), event, fields: parsed };
}

/**
 * @param id The client's id of its attempt.
 * @param log Lines of all entries, in any order.
 * @returns The request's lines, context and outcome; without lines if none names the request.
 */
export function explain(id: string, log: readonly LogLine[]): Explanation {
  const lines = sortByTime(log.filter(({ fields }) => fields["id"] === id));
  if (lines.length === 0) return { lines, context: [] };
  const ended = lines.findLast(({ event }) => event === "request");
  const restored = lines.findLast(({ event }) => event === "run_restored");
  const outcomes = [
    ...(restored ? [describeRestore(restored.fields)] : []),
    ...(ended ? [describeOutcome(ended.fields)] : []),
  ];
  return {
    lines,
    context: findContext(lines, log),
    outcome: ended && outcomes.join(" ") + describeWait(ended.fields),
  };
}

/**
 * @param explanation Lines and outcome of a request.
 * @returns One text per line, the outcome last.
 */
export function formatExplanation(explanation: Explanation): string[] {
  const { lines, context, outcome } = explanation;
  const own = new Set(lines);
  const all = sortByTime([...lines, ...context]).map((line) =>
    `${own.has(line) ? "*" : " "} ${formatLine(line)}`
  );
  return [...all, outcome ?? "No log line says how it ended."];
}

function findContext(
  lines: LogLine[],
  log: readonly LogLine[],
): LogLine[] {
  const servers = new Set(lines.flatMap(({ fields }) => serversOf(fields)));
  const entries = new Set(lines.map(({ processId }) => processId));
  const [fromMs, untilMs] = contextSpan(lines);
  const own = new Set(lines);
  const digests = new Set(lines.flatMap(({ fields }) => digestsOf(fields)));
  const streams = new Set(lines.map(streamOf));
  return sortByTime(log.filter((line) => {
    // Other attempts at the same request or stream at any time, and its quarantine events.
    const isSameRequest = digestsOf(line.fields).some((digest) =>
      digests.has(digest)
    );
    const isSameStream = line.event === "request" &&
      streams.has(streamOf(line));
    if (isSameRequest || isSameStream) return !own.has(line);
    if (own.has(line) || line.time < fromMs || line.time > untilMs) {
      return false;
    }
    if (PROCESS_EVENTS.has(line.event)) return entries.has(line.processId);
    return !OTHER_REQUEST_EVENTS.has(line.event) &&
      serversOf(line.fields).some((server) => servers.has(server));
  }));
}

/** Time span from the request's arrival to its last line, extended by {@link CONTEXT_MS}. */
function contextSpan(lines: LogLine[]): [number, number] {
  const starts = lines.map(({ time, fields }) =>
    time - Number(fields["tookMs"] ?? 0)
  );
  const fromMs = Math.min(...starts) - CONTEXT_MS;
  return [fromMs, lines.at(-1)!.time + CONTEXT_MS];
}

function serversOf(fields: Record<string, unknown>): string[] {
  const { server, servers, from, to } = fields;
  return [server, from, to, ...(Array.isArray(servers) ? servers : [])]
    .filter((id): id is string => typeof id === "string");
}

/** Digest of a request, and the part of its prompt that is in quarantine. */
function digestsOf(
  { digest, part, quarantinedPart }: Record<string, unknown>,
): string[] {
  return [digest, part, quarantinedPart].filter((value) =>
    typeof value === "string"
  );
}

/** Id of the attempt that began the stream of a request, which may be the request itself. */
function streamOf({ fields }: LogLine): unknown {
  return fields["resumedId"] ?? fields["id"];
}

function sortByTime(lines: LogLine[]): LogLine[] {
  return lines.toSorted((a, b) => a.time - b.time);
}

function formatLine({ time, processId, event, fields }: LogLine): string {
  const rest = Object.entries(fields)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return [new Date(time).toISOString(), processId, event, ...rest].join(" ");
}

function formatValue(value: unknown): string {
  if (Array.isArray(value)) return value.length > 0 ? value.join(",") : "none";
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

function describeRestore(
  { from, to, outcome, reason }: Record<string, unknown>,
): string {
  const how = RESTORES[String(outcome)] ?? String(outcome);
  const why = reason === undefined ? "" : ` (${reason})`;
  return `Its run was lost at ${from} and ${how}, ${to}${why}.`;
}

function describeOutcome(fields: Record<string, unknown>): string {
  const { outcome, status, reason, tookMs, notResent } = fields;
  const servers = Array.isArray(fields["servers"]) ? fields["servers"] : [];
  const sends = `${describeServers(servers)}${
    describeResendRefusal(notResent)
  }`;
  const last = servers.at(-1);
  const why = reason === undefined
    ? ""
    : `: ${REASONS[String(reason)] ?? String(reason)}`;
  switch (outcome) {
    case "answered":
      return `Answered ${status} by ${last} after ${tookMs} ms.`;
    case "refused":
      return `Refused as not run${why}. ${sends}`;
    case "failed":
      return `Failed with ${status}${why}. ${sends} It may have run.`;
    case "broken_off":
      return `Aborted in the middle of its stream${why}. ${sends}`;
    case "client_gone":
      return `Its client disconnected after ${tookMs} ms. ${
        describeServers(servers)
      }`;
    case "local":
      return reason === "aborted"
        ? `Ended without a complete answer${why}.`
        : `Answered by the entry itself${why}.`;
    default:
      return `Ended as ${String(outcome)}${why}.`;
  }
}

/** How long the request waited for room of its service, and which priorities went before it. */
function describeWait(
  { priority, waitedMs, admittedMeanwhile }: Record<string, unknown>,
): string {
  const wait = waitedMs === undefined
    ? ""
    : ` It waited ${waitedMs} ms for room of its service.`;
  if (typeof admittedMeanwhile !== "object" || !admittedMeanwhile) return wait;
  const admitted = Object.entries(admittedMeanwhile)
    .map(([priority, count]) => `${count} of priority ${priority}`);
  const others = admitted.length > 0 ? admitted.join(", ") : "none";
  return `${wait} Its priority is ${priority}; admitted meanwhile: ${others}.`;
}

function describeServers(servers: unknown[]): string {
  return servers.length === 0
    ? "It was sent to no server."
    : `It was sent to ${servers.join(", then ")}.`;
}

function describeResendRefusal(notResent: unknown): string {
  if (notResent === undefined) return "";
  const why = RESEND_REFUSALS[String(notResent)] ?? String(notResent);
  return ` It was not sent again: ${why}.`;
}
