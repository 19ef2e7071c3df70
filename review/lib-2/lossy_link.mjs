// A link to a worker that loses packets. TCP sends a lost packet once more after its shortest timeout, and
// what follows on the channel waits for it, so a loss shows as a delay. Each piece of data and each close
// counts as a packet.
import net from "node:net";
import { sleep } from "./deployment.mjs";

/** Shortest time after which Linux sends a lost packet once more. */
const RETRANSMIT_MS = 200;

export class LossyLink {
  #server;
  #options;
  lost = 0;

  /** @param options Address of the worker; `isLost` decides for each packet. */
  static async create({ ipAddress, targetPort, isLost }) {
    const link = new LossyLink();
    link.#options = { ipAddress, targetPort, isLost };
    link.#server = net.createServer(
      { allowHalfOpen: true },
      (near) => link.#accept(near),
    );
    await new Promise((resolve) => {
      link.#server.listen(0, ipAddress, resolve);
    });
    return link;
  }

  get address() {
    return `${this.#options.ipAddress}:${this.#server.address().port}`;
  }

  /** Refuses new channels, as the worker's port does once its process has ended. */
  refuse() {
    this.#server.close();
  }

  #accept(near) {
    const { ipAddress, targetPort } = this.#options;
    const far = net.connect({
      host: ipAddress,
      port: targetPort,
      allowHalfOpen: true,
    });
    for (const socket of [near, far]) socket.setNoDelay(true);
    this.#forward(near, far);
    this.#forward(far, near);
  }

  #forward(from, to) {
    let turn = Promise.resolve();
    const pass = (deliver) => {
      turn = turn.then(async () => {
        if (this.#options.isLost()) {
          this.lost++;
          await sleep(RETRANSMIT_MS);
        }
        if (!to.destroyed) deliver();
      });
    };
    from.on("data", (bytes) => pass(() => to.write(bytes)));
    from.on("end", () => pass(() => to.end()));
    from.on("error", () => pass(() => to.resetAndDestroy()));
  }
}
