/** Stand-in for a server of a plain service that reads each request whole before it answers. */
import { createServer, type Server as HttpServer } from "node:http";
import type { AddressInfo } from "node:net";

/** A plain server that counts the bytes of bodies. */
export class StandinCallServer {
  /** Size of each body that was received whole. */
  readonly bodies: number[] = [];
  readonly #server: HttpServer;

  private constructor() {
    this.#server = createServer(async (request, response) => {
      let sizeBytes = 0;
      try {
        for await (const chunk of request) sizeBytes += chunk.length;
      } catch {
        return;
      }
      this.bodies.push(sizeBytes);
      const id = request.headers["attempt-id"];
      response.writeHead(200, {
        "server-seal": "s",
        "content-length": "2",
        ...(id === undefined ? {} : { "attempt-id": id }),
      });
      response.end("ok");
    });
  }

  /** @returns A listening server. */
  static async create(): Promise<StandinCallServer> {
    const made = new StandinCallServer();
    await new Promise<void>((resolve) =>
      made.#server.listen(0, "127.0.0.1", resolve)
    );
    return made;
  }

  /** The server's entry in the platform's store. */
  get entry(): object {
    const { port } = this.#server.address() as AddressInfo;
    return {
      service: "plain",
      address: `127.0.0.1:${port}`,
      zone: "a",
      version: "v1",
      slots: 64,
      state: "ready",
      models: [],
      cold_left_ms: 0,
      sequence: 0,
      born: 1,
    };
  }

  /** Stops the server. */
  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
