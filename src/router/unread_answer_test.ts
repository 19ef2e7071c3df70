import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import process from "node:process";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type AnswerStep, ChannelPool, type Exchange } from "./channel.ts";
import { UnreadBudget } from "./unread_budget.ts";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const PIECE_BYTES = 1000;
const LAST_ANSWER_PIECES = 9;
/** Of an answer that declares its end, and can't be paused as its connection closes after it. */
const CLOSING_HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n" +
  `content-length: ${LAST_ANSWER_PIECES * PIECE_BYTES}\r\n\r\n`;
const REQUEST = { method: "GET", target: "/", headers: [], body: undefined };
const LIMITS = { responseBytes: 8000, totalBytes: 20_000, freeBytes: 2000 };

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const SMALL_CHUNKS = "1\r\nx\r\n".repeat(100_000);
const MAX_HEAP_GROWTH_BYTES = 50 * 1024 * 1024;

interface Setup {
  pool: ChannelPool;
  unread: UnreadBudget;
  /** Connections of the server, in the order of their requests. */
  sockets: Socket[];
}

async function setUp(t: TestContext, head = HEAD): Promise<Setup> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(head);
      sockets.push(socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const unread = UnreadBudget.create(LIMITS);
  const address = `127.0.0.1:${port}`;
  const pool = ChannelPool.create({
    address,
    connectMs: 500,
    idleMs: 1000,
    unread,
  });
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { pool, unread, sockets };
}

/** Sends a request whose answer has begun; only its head is read. */
async function begin({ pool, sockets }: Setup): Promise<Exchange> {
  const count = sockets.length;
  const exchange = pool.send(REQUEST);
  while (sockets.length === count) await sleep(1);
  assert.equal((await exchange.next(1000))?.kind, "head");
  return exchange;
}

async function write(
  { sockets, unread }: Setup,
  index: number,
  pieces: number,
): Promise<void> {
  const before = unread.totalBytes;
  sockets[index]!.write(Buffer.alloc(pieces * PIECE_BYTES));
  for (let i = 0; i < 100 && unread.totalBytes === before; i++) await sleep(1);
  await sleep(10);
}

function lastStep(exchange: Exchange): AnswerStep | undefined {
  let last: AnswerStep | undefined;
  for (let step = exchange.take(); step; step = exchange.take()) last = step;
  return last;
}

// An answer without a length can't be paused and was kept whole for a client that didn't read it.
test("answer without a length that is left unread is broken off above its limit", async (t) => {
  const setup = await setUp(t);
  const exchange = await begin(setup);
  await write(setup, 0, 8);
  assert.equal(setup.unread.totalBytes, 8 * PIECE_BYTES);
  await write(setup, 0, 1);
  assert.equal(setup.unread.totalBytes, 0);
  const step = exchange.take();
  assert.equal(step?.kind, "failed");
  assert.equal(exchange.take(), undefined);
});

// An answer whose data was dropped would look complete if its end came with the data.
test("answer that is broken off with its last bytes has no end", async (t) => {
  const setup = await setUp(t, CLOSING_HEAD);
  const exchange = await begin(setup);
  await write(setup, 0, LAST_ANSWER_PIECES);
  await sleep(100);
  const kinds = [exchange.take()?.kind, exchange.take()?.kind];
  assert.deepEqual(kinds, ["failed", undefined]);
});

// Unread data of a complete answer was still read after the runs had been aborted.
test("aborted answer keeps what has arrived", async (t) => {
  const setup = await setUp(t);
  const exchange = await begin(setup);
  await write(setup, 0, 4);
  setup.sockets[0]!.end();
  await sleep(100);
  exchange.abort();
  assert.equal(exchange.take()?.kind, "data");
  assert.equal(lastStep(exchange)?.kind, "end");
  assert.equal(setup.unread.totalBytes, 0);
});

// Many slow clients together held as many answers as there were clients.
test("unread answers are bounded together, and those that are read go on", async (t) => {
  const setup = await setUp(t);
  const slow = [];
  for (let i = 0; i < 4; i++) slow.push(await begin(setup));
  const read = await begin(setup);
  for (const i of [0, 1, 2]) await write(setup, i, 6);
  assert.equal(setup.unread.totalBytes, 18 * PIECE_BYTES);
  await write(setup, 3, 6);
  assert.equal(setup.unread.totalBytes, 18 * PIECE_BYTES);
  assert.equal(lastStep(slow[3]!)?.kind, "failed");
  for (let i = 0; i < 20; i++) {
    await write(setup, 4, 2);
    assert.equal(lastStep(read)?.kind, "data");
  }
  for (const exchange of slow.slice(0, 3)) {
    assert.equal(lastStep(exchange)?.kind, "data");
  }
  assert.equal(setup.unread.totalBytes, 0);
});

// Bytes of answers whose client has gone would use up the limit for ever.
test("answers that are dropped unread count no more", async (t) => {
  const setup = await setUp(t);
  const [open, ended] = [await begin(setup), await begin(setup)];
  await write(setup, 0, 4);
  await write(setup, 1, 4);
  setup.sockets[1]!.end();
  await sleep(100);
  open.abort();
  ended.abort();
  assert.equal(setup.unread.totalBytes, 0);
});

// Chunks were counted by their bytes alone, and are kept as objects: 20 slow clients filled the heap.
test("unread chunks of one byte use little memory", async (t) => {
  const setup = await setUp(t, CHUNKED_HEAD);
  const exchanges = [];
  const heapBytes = process.memoryUsage().heapUsed;
  for (let i = 0; i < 20; i++) {
    exchanges.push(await begin(setup));
    setup.sockets[i]!.write(SMALL_CHUNKS);
  }
  await sleep(1000);
  const grownBytes = process.memoryUsage().heapUsed - heapBytes;
  assert.ok(grownBytes <= MAX_HEAP_GROWTH_BYTES, `${grownBytes} bytes`);
  for (const exchange of exchanges) assert.equal(exchange.take()?.kind, "data");
});
