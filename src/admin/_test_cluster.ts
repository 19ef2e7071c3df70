/** A cluster of administration servers that share an in-memory store, for tests. */
import { createHash } from "node:crypto";
import { createSilentLogger, systemClock } from "../base/mod.ts";
import { type FleetNode, LocalFleet } from "../config/local_fleet.ts";
import { MemoryStore } from "../store/memory_store.ts";
import { AdminClient } from "./client.ts";
import { AdminServer } from "./server.ts";

/** Bearer key of the administration servers. */
export const ADMIN_KEY = "test-administrator";

/** A branch with one workspace. */
export const BRANCH = {
  format: 1,
  classes: { desk: { priority: "urgent", deadlineMs: 2000 } },
  workspaces: { salon: { defaultClass: "desk" } },
};

/** A node with its administration server and a client of this server. */
export interface TestNode extends FleetNode {
  server: AdminServer;
  client: AdminClient;
  url: string;
}

/** Nodes that share one store. */
export interface TestCluster {
  store: MemoryStore;
  fleet: LocalFleet;
  nodes: TestNode[];
  close(): Promise<void>;
}

/**
 * @param count Number of nodes.
 * @returns A cluster whose servers listen on the loopback interface.
 */
export async function startTestCluster(count: number): Promise<TestCluster> {
  const store = MemoryStore.create({ progressMs: 10 });
  const fleet = LocalFleet.create({
    store,
    sync: { startJitterMs: 0, exchangeIntervalMs: 20 },
  });
  const nodes: TestNode[] = [];
  for (let index = 0; index < count; index++) {
    nodes.push(await startNode(fleet, `node-${index}`));
  }
  let closing: Promise<void> | undefined;
  const closeAll = async () => {
    for (const { client, server } of nodes) {
      await client.close();
      await server.close();
    }
    await fleet.stopAll();
    store.close();
  };
  const close = () => closing ??= closeAll();
  return { store, fleet, nodes, close };
}

async function startNode(fleet: LocalFleet, name: string): Promise<TestNode> {
  const node = fleet.start(name);
  await node.sync.ready;
  const server = createServer(node);
  const address = (await server.start()).unwrapOrElse((failure) => {
    throw new Error(failure.message);
  });
  const url = `http://${address}`;
  const client = AdminClient.create({ url, key: ADMIN_KEY, writer: name });
  return { ...node, server, client, url };
}

/**
 * @param node A node.
 * @returns An administration server for the node that does not listen yet.
 */
export function createServer(node: FleetNode): AdminServer {
  return AdminServer.create({
    address: "127.0.0.1:0",
    keySha256: createHash("sha256").update(ADMIN_KEY).digest("hex"),
    store: node.store,
    branches: node.branches,
    sync: node.sync,
    processId: node.address,
    peerAddress: () => node.address,
    clock: systemClock,
    log: createSilentLogger(),
    resolveTimeoutMs: 200,
  });
}
