/** Restarts of stand-ins for backend servers. */
import type { StandinBackendServer } from "./backend_server.ts";

/** Lets the system choose a port. */
const ANY_ADDRESS = "127.0.0.1:0";

/**
 * Restarts a server at its address, or at another one if a process of another test has taken its port.
 *
 * @param server A server, which must be registered again afterwards.
 */
export async function restartServer(
  server: StandinBackendServer,
): Promise<void> {
  try {
    await server.restart();
  } catch {
    await server.restart(ANY_ADDRESS);
  }
}
