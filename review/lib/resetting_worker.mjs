// Small stand-in for a worker whose answers have no length. It breaks some of them off with a reset.
import { createServer } from "node:net";

const PARTS = 10;

/** A worker that listens on a loopback address. */
export class ResettingWorker {
  /** Requests that arrived, with what was answered. */
  runs = [];
  #server;
  #sockets = new Set();

  /** @param options Address, id, service, zone, and which answers are broken off. */
  static async create(options) {
    const worker = new ResettingWorker();
    Object.assign(worker, options);
    worker.#server = createServer((socket) => worker.#accept(socket));
    await new Promise((resolve) =>
      worker.#server.listen(0, options.ipAddress, resolve)
    );
    worker.address = `${options.ipAddress}:${worker.#server.address().port}`;
    return worker;
  }

  /** The worker's entry in the list of workers. */
  get registration() {
    const { service, address, zone } = this;
    return {
      service,
      address,
      zone,
      version: "v1",
      slots: 6,
      state: "ready",
      cold_left_ms: 0,
      sequence: 0,
    };
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket) {
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let head = "";
    let left;
    const onData = (chunk) => {
      if (left !== undefined) left -= chunk.length;
      else {
        head += chunk.toString("latin1");
        const end = head.indexOf("\r\n\r\n");
        if (end < 0) return;
        const headers = parseHead(head.slice(0, end));
        left = Number(headers["content-length"] ?? 0) - (head.length - end - 4);
        this.#serve(socket, headers);
      }
      if (left <= 0) socket.emit("whole");
    };
    socket.on("data", onData);
  }

  #serve(socket, headers) {
    const id = headers["attempt-id"];
    if (headers["expect-instance"] !== this.id) {
      socket.end(
        `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\n` +
          "Content-Length: 0\r\nConnection: close\r\n\r\n",
      );
      return;
    }
    const whole = Array.from({ length: PARTS }, (_, i) => `${id} line ${i}\n`);
    const run = { id, worker: this.id, body: whole.join(""), isCut: false };
    this.runs.push(run);
    const answer = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\n` +
      `Server-Seal: seal-${id}\r\nConnection: close\r\n\r\n`;
    if (!this.cuts()) {
      socket.once("whole", () => socket.end(answer + run.body));
      return;
    }
    // It answers before it has read the body, and breaks off.
    run.isCut = true;
    socket.pause();
    setTimeout(() => {
      socket.write(answer + whole.slice(0, PARTS / 2).join(""));
      socket.resetAndDestroy();
    }, this.workMs);
  }
}

function parseHead(text) {
  return Object.fromEntries(
    text.split("\r\n").slice(1).map((line) => {
      const at = line.indexOf(":");
      return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }),
  );
}
