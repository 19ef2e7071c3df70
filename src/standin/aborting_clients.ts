/** Test helpers for late reads: clients that disconnect early, and a blocked event loop. */
import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** Time from connecting until a client disconnects. */
const ABORT_DELAY_MS = 300;
const CLIENTS = `
  const { parentPort, workerData } = require("node:worker_threads");
  const { connect } = require("node:net");
  const { port, host, count, request, patienceMs } = workerData;
  let left = 0;
  const leave = (socket) => {
    socket.destroy();
    if (++left === count) parentPort.postMessage("left");
  };
  for (let i = 0; i < count; i++) {
    const socket = connect(port, host, () => {
      socket.write(request.replace("NUMBER", i));
      setTimeout(leave, patienceMs, socket);
    });
    socket.on("error", () => {});
  }
`;

/** Clients that disconnect before they get an answer. */
export interface AbortingClients {
  ipAddress: string;
  port: number;
  count: number;
  /** Raw bytes of each client's request; `NUMBER` is replaced by the client's index. */
  request: string;
}

/**
 * Connects all clients at once from a worker thread. Each sends a request and disconnects without
 * waiting for the answer.
 *
 * @param clients Target address, number of clients and request.
 * @returns Resolves when all clients have disconnected.
 */
export async function sendAndDisconnect(
  { ipAddress, port, count, request }: AbortingClients,
): Promise<void> {
  const workerData = {
    port,
    host: ipAddress,
    count,
    request,
    patienceMs: ABORT_DELAY_MS,
  };
  const thread = new Worker(CLIENTS, { eval: true, workerData });
  await once(thread, "message");
  await thread.terminate();
}

/**
 * Blocks the event loop of this process for some time in each turn.
 *
 * @param turnMs Blocking time per turn.
 * @returns Stops the blocking.
 */
export function blockEventLoop(turnMs: number): () => void {
  let isBusy = true;
  const blockTurn = () => {
    const endMs = performance.now() + turnMs;
    while (performance.now() < endMs);
    if (isBusy) setImmediate(blockTurn);
  };
  blockTurn();
  return () => {
    isBusy = false;
  };
}
