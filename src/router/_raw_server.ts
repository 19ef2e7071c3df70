/** Registers servers that respond with raw bytes, and asks for their answers. */
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  attemptIdOf,
  type ClientResponse,
  type RawResponder,
  sendClientRequest,
  StandinRawServer,
} from "../standin/mod.ts";
import { stateContains, until, type World } from "./_world.ts";

/** Pause before a request that was rejected is repeated. */
const REPEAT_MS = 50;

/**
 * @param t The test.
 * @param world The world in which the server is registered.
 * @param options Id and service of the server, and its responses.
 * @returns The server, once the first entry knows it.
 */
export async function serveBytes(
  t: TestContext,
  world: World,
  { id, service, answer }: {
    id: string;
    service: string;
    answer: RawResponder;
  },
): Promise<StandinRawServer> {
  const server = await StandinRawServer.create(answer);
  t.after(() => server.close());
  await world.store.put(`servers/${id}`, server.entry(service));
  await until(() => stateContains(world, `"${id}"`));
  return server;
}

/**
 * Repeats a request while the router itself rejects it with 503, as it does under high load.
 *
 * @param world The world whose first entry is asked.
 * @param path Path of the request.
 * @param headers Headers that differ from the defaults.
 * @returns The answer.
 */
export async function askUntilAccepted(
  world: World,
  path: string,
  headers: Record<string, string> = {},
): Promise<ClientResponse> {
  while (true) {
    const asked = await sendClientRequest(world, path, headers);
    const isRejected = asked.status === 503 &&
      attemptIdOf(asked.headers) === undefined;
    if (!isRejected) return asked;
    await sleep(REPEAT_MS);
  }
}
