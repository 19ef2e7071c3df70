// Small stand-in for a worker that streams. Its answers have no length: they end with their channel.
import { createServer } from "node:net";

/** A worker that listens on a loopback address. */
export class StreamWorker {
  /** Requests that arrived, with the pieces that were sent for them. */
  runs = [];
  #server;
  #sockets = new Set();

  static async create(options) {
    const worker = new StreamWorker();
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
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const headEnd = text.indexOf("\r\n\r\n");
      if (headEnd < 0) return;
      const headers = Object.fromEntries(
        text.slice(0, headEnd).split("\r\n").slice(1).map((line) => {
          const at = line.indexOf(":");
          return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
        }),
      );
      const bodyLength = Number(headers["content-length"] ?? 0);
      if (text.length < headEnd + 4 + bodyLength) return;
      text = "";
      this.#serve(socket, headers);
    });
  }

  #serve(socket, headers) {
    if (headers["expect-instance"] !== this.id) {
      socket.end(
        `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\n` +
          "Content-Length: 0\r\nConnection: close\r\n\r\n",
      );
      return;
    }
    const id = headers["attempt-id"];
    const run = { id, worker: this.id, pieces: "", isWhole: false };
    this.runs.push(run);
    socket.write(
      `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${id}\r\n` +
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
    );
    let sent = 0;
    const timer = setInterval(() => {
      sent++;
      const piece = `id: ${sent}\ndata: piece ${sent} of ${id}\n\n`;
      run.pieces += piece;
      socket.write(piece);
      if (sent < this.pieceCount) return;
      clearInterval(timer);
      run.isWhole = true;
      socket.end();
    }, this.pieceMs);
    socket.once("close", () => clearInterval(timer));
  }
}
