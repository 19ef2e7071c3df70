/** Control calls to backend servers: load reports, weight changes and moves of runs. */
import { Result } from "true-myth";
import type { ServerAddress, ServerReport } from "../router/model.ts";
import { readReport } from "./decode_server.ts";
import { type CallFailure, HttpCaller } from "./http_call.ts";
import { Header, ServerPath } from "./names.ts";

/** Largest body of a server's answer; many servers may be called at once. */
const MAX_ANSWER_BYTES = 1024 * 1024;

/** An order to load another version of a model's weights. */
export interface WeightsOrder {
  model: string;
  version: number;
  /** What happens to running requests. */
  runs: "finish" | "cut" | "continue";
  /** Id of the process that sends the order. */
  holderId: string;
  fencingNumber: bigint;
  /** Orders that the server had accepted when this one was decided; it refuses if it has more. */
  orderSequence: number;
}

/** A server's answer to an order. */
export type OrderAnswer =
  | { kind: "accepted" }
  /** The server has loaded these weights already. */
  | { kind: "holds" }
  /** Another order is in progress, or was accepted after this one was decided. */
  | { kind: "conflict" }
  /** The server has seen a higher fencing number. */
  | { kind: "fenced" }
  /** Another server has this address. */
  | { kind: "wrong_server" }
  | { kind: "refused"; status: number };

/** Values of the platform's `mode` field. */
const RUN_MODES = {
  finish: "wait",
  cut: "truncate",
  continue: "retain",
} as const;

/**
 * Fetches a server's load report.
 *
 * @param server The server to ask.
 * @param callMs Timeout of connecting, and idle timeout of the call.
 * @returns The report, or why the call failed.
 */
export async function fetchReport(
  server: ServerAddress,
  callMs: number,
): Promise<Result<ServerReport, CallFailure>> {
  const caller = HttpCaller.create(server.address, callMs);
  try {
    const answer = await caller.send({
      method: "GET",
      path: ServerPath.report,
      headers: { [Header.expectedServer]: server.id },
      idleTimeoutMs: callMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
    if (answer.isErr) return Result.err(answer.error);
    const { status, body } = answer.value;
    if (status !== 200) return Result.err(malformed(`Status ${status}`));
    return Result.ok(readReport(body));
  } catch (error) {
    return Result.err(malformed(String(error)));
  } finally {
    await caller.close();
  }
}

/**
 * Sends an order once, without retries.
 *
 * @param server The server that receives the order.
 * @param order The weights to load.
 * @param options Timeout of connecting, and idle timeout of the call.
 * @returns The server's answer. After a failure, the order may still be executed, even later.
 */
export async function sendOrder(
  server: ServerAddress,
  order: WeightsOrder,
  { callMs }: { callMs: number },
): Promise<Result<OrderAnswer, CallFailure>> {
  const caller = HttpCaller.create(server.address, callMs);
  const answer = await caller.send({
    method: "POST",
    path: ServerPath.order,
    headers: { [Header.expectedServer]: server.id },
    body: {
      op: "version",
      model: order.model,
      version: order.version,
      mode: RUN_MODES[order.runs],
      holder: order.holderId,
      fencing_token: Number(order.fencingNumber),
      expected: order.orderSequence,
    },
    idleTimeoutMs: callMs,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  await caller.close();
  return answer.map(({ status }) => readOrderAnswer(status));
}

/** Moves a run to another server. */
export interface RunMoveOrder {
  /** The client's id of its attempt. */
  requestId: string;
  /** `ip:port` of the server to which the run's memory is copied. */
  targetAddress: string;
}

/** A server's answer to a call that moves a run. */
export type MoveAnswer =
  /** The run has stopped, and its memory was copied to the target. */
  | { kind: "copied"; copyId: string }
  /** The run has stopped, but the target has no free memory or is unreachable. */
  | { kind: "stopped" }
  /** There is no such run, or it is already being moved. */
  | { kind: "not_running" }
  | { kind: "refused"; status: number };

/**
 * Copies a run's memory to another server, and stops the run.
 *
 * @param server The server that executes the run.
 * @param move The run and its target.
 * @param options Timeout of connecting, and idle timeout of the call.
 * @returns The server's answer. After a failure, the run may have stopped.
 */
export async function moveRun(
  server: ServerAddress,
  { requestId, targetAddress }: RunMoveOrder,
  { callMs }: { callMs: number },
): Promise<Result<MoveAnswer, CallFailure>> {
  const caller = HttpCaller.create(server.address, callMs);
  const answer = await caller.send({
    method: "POST",
    path: ServerPath.move,
    headers: { [Header.expectedServer]: server.id },
    body: { id: requestId, target: targetAddress, last: true },
    idleTimeoutMs: callMs,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  await caller.close();
  return answer.map(({ status, body }) => readMoveAnswer(status, body));
}

/**
 * Frees the memory of a moved run that won't be resumed, on both servers.
 *
 * @param server The server that executed the run.
 * @param copyId The id of the copy.
 * @param options Timeout of connecting, and idle timeout of the call.
 * @returns The HTTP status of the answer, or why the call failed.
 */
export async function dropCopy(
  server: ServerAddress,
  copyId: string,
  { callMs }: { callMs: number },
): Promise<Result<number, CallFailure>> {
  const caller = HttpCaller.create(server.address, callMs);
  const answer = await caller.send({
    method: "DELETE",
    path: ServerPath.dropCopy + encodeURIComponent(copyId),
    headers: { [Header.expectedServer]: server.id },
    idleTimeoutMs: callMs,
    maxAnswerBytes: MAX_ANSWER_BYTES,
  });
  await caller.close();
  return answer.map(({ status }) => status);
}

function readMoveAnswer(
  status: number,
  body: Record<string, unknown>,
): MoveAnswer {
  const copyId = body["handle"];
  switch (status) {
    case 200:
      return typeof copyId === "string" || typeof copyId === "number"
        ? { kind: "copied", copyId: String(copyId) }
        : { kind: "stopped" };
    case 404:
    case 409:
      return { kind: "not_running" };
    case 503:
      return { kind: "stopped" };
    default:
      return { kind: "refused", status };
  }
}

function readOrderAnswer(status: number): OrderAnswer {
  switch (status) {
    case 202:
      return { kind: "accepted" };
    case 200:
      return { kind: "holds" };
    case 409:
      return { kind: "conflict" };
    case 412:
      return { kind: "fenced" };
    case 421:
      return { kind: "wrong_server" };
    default:
      return { kind: "refused", status };
  }
}

function malformed(message: string): CallFailure {
  return { kind: "malformed", message };
}
