/** Gathers what the logs of all entries say of one request, and tells how it ended. */
import { ResendRefusal } from "./request.ts";

/** One line of a log. */
export interface LogLine {
  /** Time since 1970 in ms. */
  time: number;
  /** The process that wrote it. */
  processId: string;
  event: string;
  /** Everything else that it says. */
  fields: Record<string, unknown>;
}

/** What the logs say of a request. */
export interface Explanation {
  /** Its own lines, in order. */
  lines: LogLine[];
  /** Lines about its servers and its entry, around its time, in order. */
  context: LogLine[];
  /** How it ended, in a sentence; left out if no line says so. */
  outcome?: string;
}

/** Lines about servers count up to this long before and after the request's own. */
const CONTEXT_MS = 5000;
/** Fields of every line, which tell nothing here. */
const COMMON_FIELDS = new Set([
  "level",
  "time",
  "role",
  "processId",
  "event",
  "id",
]);
/** Events about a whole process that may decide a request. */
const PROCESS_EVENTS = new Set([
  "config_in_force",
  "listening",
  "log_lines_left_out",
  "stopping",
  "store_lost",
  "store_regained",
]);

/** Events about another request, which tell nothing of a server. */
const OTHERS_EVENTS = new Set(["request", "run_moved"]);

/** What the reasons in lines of requests mean. */
const REASONS: Record<string, string> = {
  answer_too_large: "the server's answer was larger than is passed on",
  answer_without_head: "the server sent a body without a head",
  client_gone: "its client had left before it was read to its end",
  cut_event: "the stream ended in the middle of an event",
  encoded_answer: "the server encoded a body that nobody asked it to encode",
  events_out_of_order: "the server sent events that don't follow the last one",
  expired: "its time was over before the entry came to it",
  foreign_answer: "the server sent the answer to another request",
  headers_too_large: "the request's headers were above the configured bound",
  deadline: "nothing more came before its time was over",
  no_event: "its stream paused, and another server could go on with it",
  no_head: "no answer began in time, and another server could be asked",
  no_connection: "no connection to the server was made in time",
  no_server: "no server of the service takes requests",
  not_ready: "the entry knew no configuration yet",
  other_weights: "the server had other weights by then",
  over_quota: "its workspace was at its limit",
  overloaded: "the entry was behind with what had arrived",
  paused: "all servers of the service wanted no requests for a while",
  quarantined:
    "three servers or more had ended under it, so it is not run for a while",
  run_stopped: "the run was stopped to be moved, and could not be copied",
  stopping: "the entry was stopping",
  too_large: "the body was above the configured bound",
  too_late: "it would have been late, and was put off at once",
  unframed_answer: "the server's answer had no length and may have been cut",
  unknown_key: "no workspace has the key",
  unknown_route: "no route leads there",
  unsigned_answer: "the server did not sign its answer",
  unsure: "the entry had no news for too long to deny a route or key",
  weights_retired:
    "its engine's weights had been replaced for too long to begin it",
  wrong_server: "another server had the address",
};

/** What it means that a request was not sent again. */
const RESEND_REFUSALS: Record<string, string> = {
  [ResendRefusal.notRepeatable]: "it may not run twice",
  [ResendRefusal.attemptsUsed]: "its route allows no further attempt",
  [ResendRefusal.sendsUsed]: "it had been sent as often as any request",
  [ResendRefusal.noTime]: "no time was left",
  [ResendRefusal.noBudget]: "the budget of resends was used up",
  [ResendRefusal.noServer]: "no other server could take it",
  [ResendRefusal.quarantined]: "servers had ended under it",
};

/**
 * @param text A line of a log; what stands before its JSON is left aside.
 * @returns The line, unless it is none of a router's.
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
 * @returns What they say; without lines if none names the request.
 */
export function explain(id: string, log: readonly LogLine[]): Explanation {
  const lines = inOrder(log.filter(({ fields }) => fields["id"] === id));
  if (lines.length === 0) return { lines, context: [] };
  const ended = lines.findLast(({ event }) => event === "request");
  return {
    lines,
    context: findContext(lines, log),
    outcome: ended && describeOutcome(ended.fields),
  };
}

/**
 * @param explanation What the logs say.
 * @returns A line each, the outcome last.
 */
export function formatExplanation(explanation: Explanation): string[] {
  const { lines, context, outcome } = explanation;
  const own = new Set(lines);
  const all = inOrder([...lines, ...context]).map((line) =>
    `${own.has(line) ? "*" : " "} ${formatLine(line)}`
  );
  return [...all, outcome ?? "No line says how it ended."];
}

function findContext(
  lines: LogLine[],
  log: readonly LogLine[],
): LogLine[] {
  const servers = new Set(lines.flatMap(({ fields }) => serversOf(fields)));
  const entries = new Set(lines.map(({ processId }) => processId));
  const [fromMs, untilMs] = spanOf(lines);
  const own = new Set(lines);
  const digests = new Set(lines.flatMap(({ fields }) => digestsOf(fields)));
  return inOrder(log.filter((line) => {
    // Other attempts of the request, however long ago, and what was thought of it.
    const isSameRequest = digestsOf(line.fields).some((digest) =>
      digests.has(digest)
    );
    if (isSameRequest) return !own.has(line);
    if (own.has(line) || line.time < fromMs || line.time > untilMs) {
      return false;
    }
    if (PROCESS_EVENTS.has(line.event)) return entries.has(line.processId);
    return !OTHERS_EVENTS.has(line.event) &&
      serversOf(line.fields).some((server) => servers.has(server));
  }));
}

/** From the request's arrival to its end, and some time around. */
function spanOf(lines: LogLine[]): [number, number] {
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

function digestsOf({ digest }: Record<string, unknown>): string[] {
  return typeof digest === "string" ? [digest] : [];
}

function inOrder(lines: LogLine[]): LogLine[] {
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

function describeOutcome(fields: Record<string, unknown>): string {
  const { outcome, status, reason, tookMs, notResent } = fields;
  const servers = Array.isArray(fields["servers"]) ? fields["servers"] : [];
  const sends = `${sentTo(servers)}${notSentAgain(notResent)}`;
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
      return `Broken off in the middle of its stream${why}. ${sends}`;
    case "client_gone":
      return `Its client left after ${tookMs} ms. ${sentTo(servers)}`;
    case "local":
      return `Answered by the entry itself${why}.`;
    default:
      return `Ended as ${String(outcome)}${why}.`;
  }
}

function sentTo(servers: unknown[]): string {
  return servers.length === 0
    ? "It was sent to no server."
    : `It was sent to ${servers.join(", then ")}.`;
}

function notSentAgain(notResent: unknown): string {
  if (notResent === undefined) return "";
  const why = RESEND_REFUSALS[String(notResent)] ?? String(notResent);
  return ` It was not sent again: ${why}.`;
}
