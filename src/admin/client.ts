/** HTTP client of the administration API. */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth";
import { Agent, errors, request } from "undici";
import type { AdminErrorBody } from "./failures.ts";
import type {
  HistoryItem,
  InForce,
  TeamList,
  TeamView,
  Validation,
} from "./queries.ts";

/** Settings of {@link AdminClient}. */
export interface AdminClientOptions {
  /** Base URL, such as `http://10.0.1.1:7710`. */
  url: string;
  /** The administrators' bearer key. */
  key: string;
  /** Name of the writer, recorded with each write. */
  writer: string;
  /** Timeout of a request, in ms. */
  timeoutMs?: number;
}

/** Why a request failed. */
export type AdminClientFailure =
  /** The API rejected the request; nothing was changed. */
  | { kind: "refused"; status: number; error: AdminErrorBody["error"] }
  /** No connection could be made; nothing was changed. */
  | { kind: "unreachable"; message: string }
  /** A write may have taken effect; if so, the history contains `writeId`. */
  | { kind: "unknown"; message: string; writeId: string };

/** A write that was accepted. */
export interface WriteReceipt {
  team: string;
  version: number;
  number: number;
  writer: string;
  writtenAtMs: number;
  writeId: string;
}

/** A new caller key and the write that stored its hash. */
export interface KeyReceipt extends WriteReceipt {
  id: string;
  key: string;
}

/** Versions in a team's history. */
export interface TeamHistory {
  team: string;
  versions: HistoryItem[];
}

type ClientResult<T> = Promise<Result<T, AdminClientFailure>>;

interface ApiRequest {
  method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
  path: string;
  body?: unknown;
  ifMatch?: number;
  /** Undefined if the request is read-only, or if the API can't recognise a retry of it. */
  writeId?: string;
}

const DEFAULT_TIMEOUT_MS = 15_000;
const TEAMS_PATH = "/admin/v1/teams";
/** Maximum number of retries of a write whose outcome is unknown. */
const MAX_RETRIES = 2;
/** Error codes after which the request was certainly not sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Calls the administration API. */
export class AdminClient {
  readonly #options: Required<AdminClientOptions>;
  readonly #dispatcher: Agent;

  private constructor(options: Required<AdminClientOptions>) {
    this.#options = options;
    const { timeoutMs } = options;
    this.#dispatcher = new Agent({
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      connect: { timeout: timeoutMs },
    });
  }

  /**
   * @param options The API's URL and the credentials.
   * @returns A client, which must be closed after use.
   */
  static create(options: AdminClientOptions): AdminClient {
    return new AdminClient({ timeoutMs: DEFAULT_TIMEOUT_MS, ...options });
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#dispatcher.close();
  }

  list(): ClientResult<TeamList> {
    return this.#send({ method: "GET", path: TEAMS_PATH });
  }

  show(team: string, version?: number): ClientResult<TeamView> {
    const query = version === undefined ? "" : `?version=${version}`;
    return this.#send({ method: "GET", path: teamPath(team) + query });
  }

  history(team: string): ClientResult<TeamHistory> {
    return this.#send({ method: "GET", path: `${teamPath(team)}/history` });
  }

  validate(team: string, branch: unknown): ClientResult<Validation> {
    const path = `${teamPath(team)}/validate`;
    return this.#send({ method: "POST", path, body: branch });
  }

  inForce(
    team: string,
    waitMs: number,
    version?: number,
  ): ClientResult<InForce> {
    const query = new URLSearchParams({ waitMs: String(waitMs) });
    if (version !== undefined) query.set("version", String(version));
    const path = `${teamPath(team)}/in-force?${query}`;
    return this.#send({ method: "GET", path });
  }

  create(team: string, branch: unknown): ClientResult<WriteReceipt> {
    return this.#sendWrite({
      method: "POST",
      path: TEAMS_PATH,
      body: { team, branch },
    });
  }

  replace(
    team: string,
    branch: unknown,
    ifMatch: number,
  ): ClientResult<WriteReceipt> {
    const path = teamPath(team);
    return this.#sendWrite({ method: "PUT", path, body: branch, ifMatch });
  }

  patch(
    team: string,
    change: { path: string; value: unknown } | { path: string; remove: true },
    ifMatch?: number,
  ): ClientResult<WriteReceipt> {
    const path = teamPath(team);
    return this.#sendWrite({ method: "PATCH", path, body: change, ifMatch });
  }

  delete(team: string, ifMatch: number): ClientResult<WriteReceipt> {
    return this.#sendWrite({ method: "DELETE", path: teamPath(team), ifMatch });
  }

  rollForward(
    team: string,
    version: number,
    ifMatch?: number,
  ): ClientResult<WriteReceipt> {
    const path = `${teamPath(team)}/roll-forward`;
    return this.#sendWrite({
      method: "POST",
      path,
      body: { version },
      ifMatch,
    });
  }

  issueKey(team: string, workspace: string): ClientResult<KeyReceipt> {
    const path = `${teamPath(team)}/workspaces/${
      encodeSegment(workspace)
    }/keys`;
    return this.#send({ method: "POST", path });
  }

  /** Sends a write, with retries while its outcome is unknown; the API applies a write id once. */
  async #sendWrite(call: ApiRequest): ClientResult<WriteReceipt> {
    const requestWithId = { ...call, writeId: randomUUID() };
    for (let retry = 0;; retry++) {
      const response = await this.#send<WriteReceipt>(requestWithId);
      const isUnknown = response.isErr && response.error.kind === "unknown";
      if (!isUnknown || retry === MAX_RETRIES) return response;
    }
  }

  async #send<T>(call: ApiRequest): ClientResult<T> {
    const { url } = this.#options;
    try {
      const response = await request(new URL(call.path, url), {
        method: call.method,
        headers: this.#buildHeaders(call),
        body: call.body === undefined ? null : JSON.stringify(call.body),
        dispatcher: this.#dispatcher,
      });
      const text = await response.body.text();
      return parseResponse(response.statusCode, text, call.writeId ?? "");
    } catch (error) {
      return Result.err(toFailure(error, call));
    }
  }

  #buildHeaders(call: ApiRequest): Record<string, string> {
    const { key, writer } = this.#options;
    const headers: Record<string, string> = {
      authorization: `Bearer ${key}`,
      "x-writer": writer,
    };
    if (call.body !== undefined) headers["content-type"] = "application/json";
    if (call.ifMatch !== undefined) headers["if-match"] = `"${call.ifMatch}"`;
    if (call.writeId !== undefined) headers["x-write-id"] = call.writeId;
    return headers;
  }
}

function parseResponse<T>(
  status: number,
  text: string,
  writeId: string,
): Result<T, AdminClientFailure> {
  const parsed = JSON.parse(text);
  if (status < 300) return Result.ok(parsed as T);
  const { error } = parsed as AdminErrorBody;
  if (error.execution !== "unknown") {
    return Result.err({ kind: "refused", status, error });
  }
  const { message } = error;
  const reportedWriteId = error.writeId ?? writeId;
  return Result.err({ kind: "unknown", message, writeId: reportedWriteId });
}

function toFailure(error: unknown, call: ApiRequest): AdminClientFailure {
  const code = getErrorCode(error);
  const message = error instanceof Error && error.message !== ""
    ? error.message
    : code;
  if (NOT_SENT_CODES.has(code) || call.method === "GET") {
    return { kind: "unreachable", message };
  }
  return { kind: "unknown", message, writeId: call.writeId ?? "" };
}

function getErrorCode(error: unknown): string {
  if (error instanceof errors.UndiciError) return error.code;
  if (error instanceof AggregateError) return getErrorCode(error.errors[0]);
  if (!(error instanceof Error) || !("code" in error)) return "";
  return String(error.code);
}

function teamPath(team: string): string {
  return `${TEAMS_PATH}/${encodeSegment(team)}`;
}

function encodeSegment(name: string): string {
  return encodeURIComponent(name);
}
