/** `cicadahitch explain`: reconstructs the history of one request from logs. */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline/promises";
import { Result } from "true-myth";
import {
  explain,
  formatExplanation,
  type LogLine,
  parseLogLine,
} from "../router/explain.ts";

/** Reason why a request cannot be explained. */
export type ExplainFailure =
  | { kind: "unreadable"; message: string }
  | { kind: "not_found"; message: string };

/**
 * @param id The attempt id that the client sent.
 * @param paths Log files of the entries; standard input is read if empty.
 * @returns Lines of the explanation; the last one states the outcome.
 */
export async function explainRequest(
  id: string,
  paths: readonly string[],
): Promise<Result<string[], ExplainFailure>> {
  const logLines: LogLine[] = [];
  for (const path of paths.length > 0 ? paths : [undefined]) {
    const failure = await readLog(path, logLines);
    if (failure) return Result.err(failure);
  }
  const explained = explain(id, logLines);
  if (explained.lines.length === 0) {
    const message =
      `None of ${logLines.length} log lines mentions request ${id}`;
    return Result.err({ kind: "not_found", message });
  }
  return Result.ok(formatExplanation(explained));
}

async function readLog(
  path: string | undefined,
  logLines: LogLine[],
): Promise<ExplainFailure | undefined> {
  const input = path === undefined ? process.stdin : createReadStream(path);
  try {
    for await (const text of createInterface({ input })) {
      const line = parseLogLine(text);
      if (line) logLines.push(line);
    }
    return undefined;
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { kind: "unreadable", message };
  }
}
