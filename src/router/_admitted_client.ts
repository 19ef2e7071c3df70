/** A client of test entries that returns when an entry refused its request because it was behind. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../base/mod.ts";
import {
  type ClientResponse,
  type EntryAddress,
  sendClientRequest,
  toRequestHeaders,
} from "../standin/mod.ts";
import type { LogLine } from "./_kit.ts";

/** Reason of an entry that reads its requests late, as its log gives it. */
const BEHIND = "overloaded";
let sentCount = 0;

/** An entry whose log was noted by {@link noteRefusals}. */
export interface NotedEntry extends EntryAddress {
  /** Ids of the requests that the entry refused because it read them late. */
  refusedBehind: Set<unknown>;
}

/**
 * Sends a request. An entry that reads requests late refuses them, as in a test process that gets
 * little processor time; such a request is sent again when the entry says. Any other refusal is the
 * answer.
 *
 * @param entry Entry to send the request to.
 * @param path Path and query.
 * @param headers Headers to add to the default ones or to replace them.
 * @returns The answer.
 */
export async function sendAdmitted(
  entry: NotedEntry,
  path: string,
  headers: Record<string, string> = {},
): Promise<ClientResponse> {
  while (true) {
    const id = `admitted-${++sentCount}`;
    const named = { ...headers, ...toRequestHeaders({ id }) };
    const answer = await sendClientRequest(entry, path, named);
    if (!entry.refusedBehind.delete(id)) return answer;
    await sleep(Number(answer.headers["retry-after"]) * 1000);
  }
}

/**
 * @param log Log of an entry.
 * @param ids Receives the ids of the requests that the entry refused because it was behind.
 * @returns A log that writes the same lines.
 */
export function noteRefusals(log: Logger, ids: Set<unknown>): Logger {
  const noting: Logger = Object.create(log);
  noting.info = (line: LogLine) => {
    if (line["reason"] === BEHIND) ids.add(line["id"]);
    log.info(line);
  };
  return noting;
}
