/**
 * Sends orders to the backend server, one at a time. An order's fencing number is checked right
 * before the order is sent. Since the agent is the only sender, an order that passed the check is
 * completed before one with a higher number is sent, even if this process was paused in between.
 *
 * A long load is accepted before it ends; later orders wait for it. An unload is accepted
 * immediately: the model takes no new requests, and the order is sent once its runs and holds have
 * ended. It is dropped if by then a newer lease holder sent an order or the model is to be loaded.
 */
import type { Clock } from "../base/mod.ts";
import type { FencingGate } from "../lease/mod.ts";
import type {
  Engine,
  EngineFailure,
  EngineOrder,
  LoadedModel,
} from "../backends/engine.ts";
import type { OrderReply, OrderRequest } from "../wire/gen/cicadahitch.ts";
import type { PendingUnload, Replicas } from "./replicas.ts";
import { describeFailure } from "./run.ts";

/** The model engine that receives orders, and its models. */
export interface OrderedEngine {
  engine: Engine;
  replicas: Replicas;
}

/** Options of {@link OrderQueue}. */
export interface OrderQueueOptions {
  gate: FencingGate;
  clock: Clock;
  /** Undefined for a plain service, which supports only drain orders. */
  server: OrderedEngine | undefined;
  /** Called when an order starts or ends draining. */
  setDraining: (isDraining: boolean) => void;
  /** Called after an order was sent to the engine, since its models may have changed. */
  onOrderSent: () => Promise<void>;
  /** Drops waiting unloads when aborted. */
  signal: AbortSignal;
}

type Lease = Pick<OrderRequest, "leaseKey" | "fencingNumber">;

/** A longer load is accepted before its result is known; must be below the planner's deadline. */
const ACCEPT_TIMEOUT_MS = 1000;
const NO_ENGINE_MESSAGE = "This server takes no such orders";

/** Checks fencing numbers and sends orders one at a time. */
export class OrderQueue {
  readonly #options: OrderQueueOptions;
  #queueTail: Promise<unknown> = Promise.resolve();
  /** The last load sent to the engine; later orders wait until it ends. */
  #loadInFlight: Promise<unknown> = Promise.resolve();

  private constructor(options: OrderQueueOptions) {
    this.#options = options;
  }

  /**
   * @param options The fencing gate, the engine and callbacks.
   * @returns A handler of the orders to one server.
   */
  static create(options: OrderQueueOptions): OrderQueue {
    return new OrderQueue(options);
  }

  /**
   * Carries out an order after those before it.
   *
   * @param request The order with its lease.
   * @returns Whether the order was accepted, or why not.
   */
  execute(request: OrderRequest): Promise<OrderReply> {
    return this.#enqueue(() => this.#executeNext(request));
  }

  #enqueue<T>(task: () => Promise<T>): Promise<T> {
    const done = this.#queueTail.then(task);
    this.#queueTail = done.then(() => this.#loadInFlight).catch(() => {});
    return done;
  }

  async #executeNext(request: OrderRequest): Promise<OrderReply> {
    const { gate } = this.#options;
    const message = await this.#checkFencing(request) ||
      await this.#dispatch(request);
    return {
      accepted: message === "",
      message,
      highestFencingNumber: gate.highestNumber(request.leaseKey),
    };
  }

  /** @returns Why the order must be refused; empty if its fencing number is valid. */
  async #checkFencing({ leaseKey, fencingNumber }: Lease): Promise<string> {
    const { gate } = this.#options;
    const prepared = await gate.loadHighestNumber(leaseKey);
    if (prepared.isErr) {
      return `The lease's number can't be read: ${prepared.error.message}`;
    }
    if (gate.admit(leaseKey, fencingNumber)) return "";
    return `The fencing number is older than ${gate.highestNumber(leaseKey)}`;
  }

  /** @returns Error message; empty if the order was accepted. */
  async #dispatch(request: OrderRequest): Promise<string> {
    const { order } = request;
    switch (order?.$case) {
      case "drain":
        this.#options.setDraining(order.value.draining);
        return "";
      case "loadModel":
        return await this.#load(request, order.value);
      case "unloadModel":
        return this.#startUnload(request, order.value);
      case "changeRole": {
        const { role } = order.value;
        return await this.#send(request, { kind: "role", role });
      }
      case undefined:
        return "The order is missing";
    }
  }

  async #load(lease: Lease, model: LoadedModel): Promise<string> {
    const replicas = this.#options.server?.replicas;
    replicas?.cancelUnload(model);
    replicas?.setLoading(model, true);
    const sending = this.#send(lease, { kind: "load", model })
      .finally(() => replicas?.setLoading(model, false));
    this.#loadInFlight = sending;
    return await this.#awaitAcceptance(sending);
  }

  /** @returns Error message of the load; empty if it succeeded or is still in progress. */
  async #awaitAcceptance(sending: Promise<string>): Promise<string> {
    const { clock, signal } = this.#options;
    const settled = new AbortController();
    const timeout = clock.sleep(
      ACCEPT_TIMEOUT_MS,
      AbortSignal.any([signal, settled.signal]),
    );
    const message = await Promise.race([sending, timeout.then(() => "")]);
    settled.abort();
    return message;
  }

  #startUnload(lease: Lease, model: LoadedModel): string {
    const { server } = this.#options;
    if (!server) return NO_ENGINE_MESSAGE;
    const pending = server.replicas.beginUnload(model);
    void this.#unload(server.replicas, lease, pending);
    return "";
  }

  async #unload(
    replicas: Replicas,
    lease: Lease,
    pending: PendingUnload,
  ): Promise<void> {
    const { signal } = this.#options;
    if (!await replicas.waitUntilIdle(pending, signal)) return;
    await this.#enqueue(async () => {
      if (!pending.isCurrent) return;
      const refusal = await this.#checkFencing(lease);
      const { model } = pending;
      if (refusal === "") await this.#send(lease, { kind: "unload", model });
      replicas.endUnload(pending);
    });
  }

  async #send(
    { leaseKey, fencingNumber }: Lease,
    order: EngineOrder["order"],
  ): Promise<string> {
    const { server, gate, onOrderSent } = this.#options;
    if (!server) return NO_ENGINE_MESSAGE;
    const sent = await server.engine.order({ fencingNumber, order });
    await onOrderSent();
    if (sent.isOk) return "";
    raiseGateIfFenced(gate, leaseKey, sent.error);
    return describeFailure(sent.error);
  }
}

function raiseGateIfFenced(
  gate: FencingGate,
  leaseKey: string,
  failure: EngineFailure,
): void {
  if (failure.kind !== "fenced") return;
  gate.recordNumber(leaseKey, failure.highestFencingNumber);
}
