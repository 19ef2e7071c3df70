/** Stand-in for the platform's store that gives scripted answers. */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { TestContext } from "node:test";
import { PlatformStore, type PlatformStoreOptions } from "./store.ts";

/** Longer than any answer takes. */
export const CALL_MS = 5000;

/** One scripted answer; without an era, as of a store that names none. */
export interface Scripted {
  status?: number;
  era?: number | string;
  body?: unknown;
  /** Resolves when the answer may be sent. */
  after?: Promise<void>;
}

/** A client and its store. */
export interface Scene {
  store: PlatformStore;
  /** Targets of the received requests. */
  requests: string[];
}

/** Starts a store that gives the answers in the order of the requests. */
export async function start(
  t: TestContext,
  answers: Scripted[],
  options: Partial<PlatformStoreOptions> = {},
): Promise<Scene> {
  const requests: string[] = [];
  const server = createServer((request, response) => {
    requests.push(request.url!);
    void send(response, answers[requests.length - 1]!);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const store = PlatformStore.create({
    address: `127.0.0.1:${port}`,
    connectMs: CALL_MS,
    callMs: CALL_MS,
    watchWaitMs: CALL_MS,
    watchSlackMs: CALL_MS,
    ...options,
  });
  t.after(() => {
    store.close();
    server.closeAllConnections();
    server.close();
  });
  return { store, requests };
}

async function send(response: ServerResponse, answer: Scripted): Promise<void> {
  const { status = 200, era, body = {}, after } = answer;
  await after;
  if (era !== undefined) response.setHeader("store-era", era);
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** @returns An item of an answer. */
export function item(key: string, revision: number): object {
  return { key, value: "", revision, created: revision, lease: 0 };
}

/** @returns The body of the last page of a listing. */
export function page(revision: number, ...items: object[]): object {
  return { items, more_pages: false, current_rev: revision };
}
