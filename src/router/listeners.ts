/** Where a router process answers others than clients: the balancer, operators and other entries. */
import type { Lifecycle } from "../base/mod.ts";
import { READINESS_PATH } from "../platform/mod.ts";
import {
  closeServer,
  type ControlOptions,
  serveControl,
  serveReadiness,
} from "./control.ts";
import type { RouterSettings } from "./settings.ts";

/** What {@link openListeners} serves. */
export interface ListenerOptions extends ControlOptions {
  /** Asked by the balancer. */
  isReady(): boolean;
}

/**
 * @param lifecycle Closes what is opened.
 * @param settings Addresses.
 * @param options What is served there.
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
