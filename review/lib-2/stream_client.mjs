// A client that asks for a stream of events and judges by the protocol whether its answer is complete.
import net from "node:net";
import { HOST, KEY } from "./deployment.mjs";

/**
 * Sends one request on a channel of its own and reads until the answer has ended.
 *
 * @returns Status, number of the last event, and whether the answer looks complete: a length or chunks
 *   that end, or an orderly close where neither was declared.
 */
export function askStream(router, { attempt, path, deadlineMs, headers = {} }) {
  return new Promise((resolve) => {
    const socket = net.connect(router.clientPort, router.ipAddress);
    let text = "";
    let error;
    const timer = setTimeout(() => socket.destroy(), deadlineMs + 500);
    socket.setNoDelay(true);
    socket.on("connect", () => {
      const fields = {
        Host: HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": deadlineMs,
        Authorization: `Bearer ${KEY}`,
        "Content-Length": 0,
        ...headers,
      };
      const lines = Object.entries(fields).map(([name, value]) =>
        `${name}: ${value}`
      );
      socket.write(`POST ${path} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n`);
    });
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      // An answer with a declared end leaves the channel open.
      if (readAnswer(text)?.isDeclaredWhole) socket.end();
    });
    let hasEnded = false;
    socket.on("end", () => hasEnded = true);
    socket.on("error", ({ code }) => error = code);
    socket.on("close", () => {
      clearTimeout(timer);
      const answer = readAnswer(text);
      if (!answer) return resolve({ status: 0, error, events: 0 });
      const { status, isDeclared, isDeclaredWhole, body } = answer;
      const isWhole = isDeclared ? isDeclaredWhole : hasEnded && !error;
      const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => +id);
      resolve({
        status,
        error,
        isDeclared,
        looksComplete: isWhole,
        events: ids.at(-1) ?? 0,
        isInOrder: ids.every((id, i) => id === i + 1),
      });
    });
  });
}

function readAnswer(text) {
  const at = text.indexOf("\r\n\r\n");
  if (at < 0) return undefined;
  const head = text.slice(0, at);
  const rest = text.slice(at + 4);
  const status = Number(head.split(" ")[1]);
  const length = /^content-length: *(\d+)$/im.exec(head)?.[1];
  if (length !== undefined) {
    const isDeclaredWhole = rest.length >= Number(length);
    return { status, isDeclared: true, isDeclaredWhole, body: rest };
  }
  if (/^transfer-encoding: *chunked$/im.test(head)) {
    const isDeclaredWhole = rest.endsWith("\r\n0\r\n\r\n") ||
      rest === "0\r\n\r\n";
    const body = rest.replace(/(^|\r\n)[0-9a-f]+\r\n/g, "");
    return { status, isDeclared: true, isDeclaredWhole, body };
  }
  return { status, isDeclared: false, isDeclaredWhole: false, body: rest };
}
