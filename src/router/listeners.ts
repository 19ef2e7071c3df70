/** Opens the listeners of a router for the load balancer, for operators and for other routers. */
import type { Lifecycle } from "../base/mod.ts";
import { READINESS_PATH } from "../platform/mod.ts";
import {
  closeServer,
  type ControlOptions,
  serveControl,
  serveReadiness,
} from "./control.ts";
import type { RouterSettings } from "./settings.ts";

/** Content that {@link openListeners} serves. */
export interface ListenerOptions extends ControlOptions {
  /** Whether the load balancer may send connections; called at each readiness request. */
  isReady(): boolean;
}

/**
 * @param lifecycle Closes the listeners when the process stops.
 * @param settings Addresses to listen on.
 * @param options Content to serve.
 */
export async function openListeners(
  lifecycle: Lifecycle,
  { controlAddress, readinessAddress }: RouterSettings,
  options: ListenerOptions,
): Promise<void> {
  const control = await serveControl(controlAddress, options);
  lifecycle.own({ name: "control", close: () => closeServer(control) });
  const readiness = await serveReadiness(
    readinessAddress,
    READINESS_PATH,
    options,
  );
  lifecycle.own({ name: "readiness", close: () => closeServer(readiness) });
}
