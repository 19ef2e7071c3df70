// A worker, as a process of its own. It answers each request with a stream of events, without a length
// or chunks: the answer ends with its channel. Arguments: IP address, id.
import net from "node:net";

const [ipAddress, id] = process.argv.slice(2);
const EVENT_INTERVAL_MS = 100;

const server = net.createServer((socket) => {
  socket.setNoDelay(true);
  socket.on("error", () => {});
  let bytes = "";
  socket.on("data", (chunk) => {
    bytes += chunk.toString("latin1");
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) return;
    const head = bytes.slice(0, end);
    bytes = "";
    answer(socket, head);
  });
});

function answer(socket, head) {
  const field = (name) =>
    new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1].trim();
  if (field("expect-instance") !== id) {
    socket.end(
      `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
    );
    return;
  }
  const attempt = field("attempt-id");
  const pieces = Number(/pieces=(\d+)/.exec(head)[1]);
  let piece = Number(field("last-event-id") ?? 0);
  process.send({ kind: "runs", attempt, from: piece });
  socket.write(
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Seal: s.${id}\r\n` +
      `Content-Type: text/event-stream\r\nConnection: close\r\n\r\n`,
  );
  const timer = setInterval(() => {
    piece++;
    socket.write(`id: ${piece}\ndata: ${attempt} ${piece} of ${pieces}\n\n`);
    if (piece < pieces) return;
    clearInterval(timer);
    socket.end();
  }, EVENT_INTERVAL_MS);
  socket.once("close", () => clearInterval(timer));
}

server.listen(0, ipAddress, () => {
  process.send({ kind: "listening", port: server.address().port });
});
