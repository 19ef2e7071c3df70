/** Clients that leave early, and a process that has much to do, for tests of what is read late. */
import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** How long a client waits. */
const PATIENCE_MS = 300;
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

/** What impatient clients ask. */
export interface ImpatientClients {
  ipAddress: string;
  port: number;
  count: number;
  /** The bytes of each one's request; NUMBER stands for its own. */
  request: string;
}

/**
 * Connects clients at once, from a thread of their own, each with a request.
 *
 * @param clients How many, and what they ask.
 * @returns Resolves when all have left without waiting for an answer.
 */
export async function askAndLeave(
  { ipAddress, port, count, request }: ImpatientClients,
): Promise<void> {
  const workerData = {
    port,
    host: ipAddress,
    count,
    request,
    patienceMs: PATIENCE_MS,
  };
  const thread = new Worker(CLIENTS, { eval: true, workerData });
  await once(thread, "message");
  await thread.terminate();
}

/**
 * Gives this process work in each turn of its loop.
 *
 * @param turnMs Work in a turn.
 * @returns Ends it.
 */
export function keepBusy(turnMs: number): () => void {
  let isBusy = true;
  const work = () => {
    const endMs = performance.now() + turnMs;
    while (performance.now() < endMs);
    if (isBusy) setImmediate(work);
  };
  work();
  return () => {
    isBusy = false;
  };
}
