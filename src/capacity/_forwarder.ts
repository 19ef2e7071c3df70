/** TCP proxy that counts the bytes exchanged by two processes of a measurement. */
import { once } from "node:events";
import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Forwards TCP connections to a local port and counts the bytes of both directions. */
export class Forwarder {
  bytes = 0;
  readonly port: number;
  readonly #server: Server;
  readonly #sockets: Set<Socket>;

  private constructor(server: Server, port: number, sockets: Set<Socket>) {
    this.#server = server;
    this.port = port;
    this.#sockets = sockets;
  }

  static async create(targetPort: number): Promise<Forwarder> {
    const sockets = new Set<Socket>();
    const server = createServer((inbound) => {
      const outbound = createConnection(targetPort, "127.0.0.1");
      for (
        const [from, to] of [[inbound, outbound], [outbound, inbound]] as const
      ) {
        sockets.add(from);
        from.setNoDelay(true);
        from.on("data", (chunk) => {
          forwarder.bytes += chunk.length;
          to.write(chunk);
        });
        from.on("error", () => to.destroy());
        from.on("close", () => {
          sockets.delete(from);
          to.destroy();
        });
      }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = server.address() as { port: number };
    const forwarder = new Forwarder(server, address.port, sockets);
    return forwarder;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}
