/**
 * Preloaded into an entry: while a file exists, datagrams from and to other addresses are lost. Those
 * that the entry sends to itself arrive, as it measures its own lag with them.
 */
import { Socket } from "node:dgram";
import { existsSync } from "node:fs";
import process from "node:process";
import { LOSS_FILE_VARIABLE } from "./_datagram_loss.ts";

const path = process.env[LOSS_FILE_VARIABLE]!;
const ownAddress = process.env["CICADAHITCH_IP_ADDRESS"];

const isLost = (address: unknown) => address !== ownAddress && existsSync(path);

const { send, emit } = Socket.prototype;

Socket.prototype.send = function (this: Socket, ...args: unknown[]): void {
  // The entries send with (bytes, port, address, callback).
  if (!isLost(args[2])) Reflect.apply(send, this, args);
};

Socket.prototype.emit = function (this: Socket, ...args: unknown[]): boolean {
  const [event, , from] = args as [string, Buffer, { address: string }];
  if (event === "message" && isLost(from.address)) return true;
  return Reflect.apply(emit, this, args);
};
