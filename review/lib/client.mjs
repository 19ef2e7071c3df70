// Small stand-in for clients: each has one channel at a time, and sends one request at a time on it.
import { Agent, request as sendRequest } from "node:http";
import { randomBytes } from "node:crypto";

/** A client attempt and how it ended. */
export function attempt({ address, agent, method, path, headers, body }) {
  const [host, port] = address.split(":");
  const id = randomBytes(8).toString("hex");
  const sent = { id, address, sentAtMs: Date.now() };
  return new Promise((resolve) => {
    const end = (fields) =>
      resolve({ ...sent, ...fields, endedAtMs: Date.now() });
    const request = sendRequest({
      agent,
      host,
      port,
      method,
      path,
      headers: { ...headers, "Attempt-Id": id },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => {});
      response.once("close", () => {
        const { statusCode: status, headers: answered } = response;
        const text = Buffer.concat(chunks).toString();
        end({
          kind: response.complete ? "answered" : "cut",
          status,
          seal: answered["server-seal"],
          answeredId: answered["attempt-id"],
          close: answered.connection === "close",
          text,
        });
      });
    });
    request.once("error", ({ code }) => {
      const isRefused = code === "ECONNREFUSED";
      end({ kind: isRefused ? "no_channel" : "closed", code });
    });
    request.end(body);
  });
}

/** One client, which sends requests until it is stopped. An open channel stays with its entry. */
export class Client {
  results = [];
  #isStopped = false;
  #done;

  /** @param options Next address for a new channel, the request, and the pause between two requests. */
  constructor(options) {
    this.#done = this.#run(options);
  }

  async stop() {
    this.#isStopped = true;
    await this.#done;
  }

  async #run({ nextAddress, pauseMs, ...request }) {
    let channel;
    while (!this.#isStopped) {
      channel ??= {
        address: nextAddress(),
        agent: new Agent({ keepAlive: true, maxSockets: 1 }),
      };
      const result = await attempt({ ...channel, ...request });
      this.results.push(result);
      if (result.kind !== "answered" || result.close) {
        channel.agent.destroy();
        channel = undefined;
      }
      await new Promise((resolve) => setTimeout(resolve, pauseMs));
    }
    channel?.agent.destroy();
  }
}
