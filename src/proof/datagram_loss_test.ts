/** The loss of datagrams that the soak gives to entries. */
import assert from "node:assert/strict";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { DatagramLoss, LOSS_FILE_VARIABLE } from "./_datagram_loss.ts";

const OWN = "127.0.77.1";
const OTHER = "127.0.77.2";
/** Longer than a datagram takes on the loopback interface. */
const ARRIVAL_MS = 100;

async function bind(address: string, received: string[]): Promise<Socket> {
  const socket = createSocket("udp4").bind(0, address);
  socket.on("message", (bytes) => received.push(`${bytes} at ${address}`));
  await once(socket, "listening");
  return socket;
}

// Guards against a soak whose entries are never cut off, or lose the datagrams with which they measure their lag.
test("datagrams from and to others are lost while the switch is on, own ones arrive", async (t) => {
  const loss = DatagramLoss.create();
  t.after(() => loss.close());
  process.env[LOSS_FILE_VARIABLE] = loss.path;
  process.env["CICADAHITCH_IP_ADDRESS"] = OWN;
  await import("./_lost_datagrams.ts");
  const received: string[] = [];
  const own = await bind(OWN, received);
  const other = await bind(OTHER, received);
  t.after(() => [own, other].map((socket) => socket.close()));
  const sendAll = async () => {
    own.send("self", own.address().port, OWN);
    own.send("out", other.address().port, OTHER);
    other.send("in", own.address().port, OWN);
    await sleep(ARRIVAL_MS);
    return received.splice(0).sort();
  };
  const all = [`in at ${OWN}`, `out at ${OTHER}`, `self at ${OWN}`];
  assert.deepEqual(await sendAll(), all);
  loss.begin();
  assert.deepEqual(await sendAll(), all.slice(2));
  loss.end();
  assert.deepEqual(await sendAll(), all);
});
