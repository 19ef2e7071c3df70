/** The gRPC listener of agents and entries. */
import {
  Server,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { Result } from "true-myth";
import type { Owned } from "../base/mod.ts";
import { serverCredentials, serverInterceptors } from "./credentials.ts";
import type { WireSecurity } from "./security.ts";

/** Maximum size of a gRPC message: the largest body that a branch may allow, plus other fields. */
export const MAX_MESSAGE_BYTES = 72 * 1024 * 1024;

/** Why a listener could not be opened. */
export interface ListenFailure {
  kind: "listen_failed";
  address: string;
  message: string;
}

/** Serves gRPC services on one address. */
export class GrpcListener implements Owned {
  readonly name = "grpc-listener";
  readonly #server: Server;
  readonly #security: WireSecurity;
  #address: string;
  #isBound = false;

  private constructor(address: string, security: WireSecurity) {
    this.#address = address;
    this.#security = security;
    this.#server = new Server({
      "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
      "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
      "grpc.enable_channelz": 0,
      interceptors: serverInterceptors(security),
    });
  }

  /**
   * @param address `ip:port`; port 0 selects any free port.
   * @param security How processes authenticate each other.
   * @returns A listener that is not open yet.
   */
  static create(address: string, security: WireSecurity): GrpcListener {
    return new GrpcListener(address, security);
  }

  /** `ip:port`; after {@link start}, with the actual port. */
  get address(): string {
    return this.#address;
  }

  /**
   * Adds a service; call it before {@link start}.
   *
   * @param definition Generated definition, such as `AgentService`.
   * @param implementation Handlers of the service.
   */
  addService<T extends UntypedServiceImplementation>(
    definition: ServiceDefinition<T>,
    implementation: T,
  ): void {
    this.#server.addService(definition, implementation);
  }

  /** @returns The address that the server listens on, or why it could not be opened. */
  start(): Promise<Result<string, ListenFailure>> {
    const address = this.#address;
    return new Promise((resolve) => {
      const credentials = serverCredentials(this.#security);
      this.#server.bindAsync(address, credentials, (error, port) => {
        if (error) {
          const message = error.message;
          resolve(Result.err({ kind: "listen_failed", address, message }));
          return;
        }
        this.#address = `${hostOf(address)}:${port}`;
        this.#isBound = true;
        resolve(Result.ok(this.#address));
      });
    });
  }

  /**
   * Stops accepting connections and calls, and waits for calls in flight to finish.
   *
   * @param timeoutMs Time after which calls still in flight are aborted.
   */
  async drain(timeoutMs: number): Promise<void> {
    const cut = setTimeout(() => this.close(), timeoutMs);
    await new Promise<void>((resolve) =>
      this.#server.tryShutdown(() => resolve())
    );
    clearTimeout(cut);
  }

  /** Closes the listener immediately and aborts calls in flight. */
  close(): void {
    // With channelz disabled, `forceShutdown` alone leaves open connections in service.
    if (this.#isBound) this.#server.drain(this.#address, 0);
    this.#server.forceShutdown();
  }
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}
