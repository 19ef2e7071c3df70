/** `cicadahitch explain`: what the logs say of one request. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline/promises";
import { Result } from "true-myth";
import {
  explain,
  formatExplanation,
  type LogLine,
  parseLogLine,
} from "../router/explain.ts";

/** Why there is no explanation. */
export type ExplainFailure =
  | { kind: "unreadable"; message: string }
  | { kind: "not_found"; message: string };

/**
 * @param id The client's id of its attempt.
 * @param paths Logs of the entries; none: standard input.
 * @returns The lines, the outcome last.
 */
export async function explainRequest(
  id: string,
  paths: readonly string[],
): Promise<Result<string[], ExplainFailure>> {
  const log: LogLine[] = [];
  for (const path of paths.length > 0 ? paths : [undefined]) {
    const failure = await readLog(path, log);
    if (failure) return Result.err(failure);
  }
  const explained = explain(id, log);
  if (explained.lines.length === 0) {
    const message = `None of ${log.length} lines names request ${id}`;
    return Result.err({ kind: "not_found", message });
  }
  return Result.ok(formatExplanation(explained));
}

async function readLog(
  path: string | undefined,
  log: LogLine[],
): Promise<ExplainFailure | undefined> {
  const input = path === undefined ? process.stdin : createReadStream(path);
  try {
    for await (const text of createInterface({ input })) {
      const line = parseLogLine(text);
      if (line) log.push(line);
    }
    return undefined;
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { kind: "unreadable", message };
  }
}
