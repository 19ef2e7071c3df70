/** Calls to a backend server besides clients' requests: its report, and orders to it. */
import { Result } from "true-myth";
import type { ServerAddress, ServerReport } from "../router/model.ts";
import { readReport } from "./decode_server.ts";
import { type CallFailure, HttpCaller } from "./http_call.ts";
import { Header, ServerPath } from "./names.ts";

/** An order to load another version of a model's weights. */
export interface WeightsOrder {
  model: string;
  version: number;
  /** What becomes of requests that run. */
  runs: "finish" | "cut" | "continue";
  /** Process that gives the order. */
  holderId: string;
  fencingNumber: bigint;
  /** Orders that the server had accepted when it was decided; it refuses if there are more. */
  orderSequence: number;
}

/** What a server said to an order. */
export type OrderAnswer =
  | { kind: "accepted" }
  /** It has these weights already. */
  | { kind: "holds" }
  /** Another order is in progress, or was accepted since. */
  | { kind: "conflict" }
  /** A higher fencing number has been seen. */
  | { kind: "fenced" }
  /** Another server has the address. */
  | { kind: "wrong_server" }
  | { kind: "refused"; status: number };

/** The platform's word for what becomes of requests that run. */
const RUNS_WORD = {
  finish: "wait",
  cut: "truncate",
  continue: "retain",
} as const;

/**
 * Asks a server for its report.
 *
 * @param server Whom to ask.
 * @param callMs Time for the connection, and for the call.
 * @returns What it says of itself.
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
      callMs,
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
 * Gives an order once.
 *
 * @param server Whom to give it.
 * @param order What to do.
 * @param callMs Time for the connection, and for the call.
 * @returns Its answer. Without one, the order may be carried out, also later.
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
      mode: RUNS_WORD[order.runs],
      holder: order.holderId,
      fencing_token: Number(order.fencingNumber),
      expected: order.orderSequence,
    },
    callMs,
  });
  await caller.close();
  return answer.map(({ status }) => readOrderAnswer(status));
}

/** A run that is to go on at another server. */
export interface RunMoveCall {
  /** The client's id of its attempt. */
  requestId: string;
  /** `ip:port` of the server to which its memory is copied. */
  targetAddress: string;
}

/** What a server said to a call to move a run. */
export type MoveAnswer =
  /** The run has stopped, and its memory is there. */
  | { kind: "copied"; copyId: string }
  /** The run has stopped, and the target has no room or is not reached. */
  | { kind: "stopped" }
  /** No such run, or it is being moved. */
  | { kind: "not_running" }
  | { kind: "refused"; status: number };

/**
 * Copies a run's memory to another server, and stops the run.
 *
 * @param server The server that runs it.
 * @param move What goes where.
 * @param options Time for the connection, and for the call.
 * @returns Its answer. Without one, the run may have stopped.
 */
export async function moveRun(
  server: ServerAddress,
  { requestId, targetAddress }: RunMoveCall,
  { callMs }: { callMs: number },
): Promise<Result<MoveAnswer, CallFailure>> {
  const caller = HttpCaller.create(server.address, callMs);
  const answer = await caller.send({
    method: "POST",
    path: ServerPath.move,
    headers: { [Header.expectedServer]: server.id },
    body: { id: requestId, target: targetAddress, last: true },
    callMs,
  });
  await caller.close();
  return answer.map(({ status, body }) => readMoveAnswer(status, body));
}

/**
 * Frees the memory of a run that is not to go on, at both servers.
 *
 * @param server The server that it ran on.
 * @param copyId The copy's id.
 * @param options Time for the connection, and for the call.
 * @returns Whether the server answered.
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
    callMs,
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
