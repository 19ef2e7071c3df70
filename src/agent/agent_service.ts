/** gRPC handlers of an agent. Each `Run` stream sends the output of one run to one reader. */
import {
  type handleBidiStreamingCall,
  type handleUnaryCall,
  type ServerDuplexStream,
  status,
} from "@grpc/grpc-js";
import type { Clock, Logger } from "../base/mod.ts";
import type {
  AgentServer,
  ModelsReport,
  RunDown,
  RunUp,
  StartRun,
} from "../wire/gen/cicadahitch.ts";
import type { AgentCore } from "./agent_core.ts";
import type { Attachment, RunSink } from "./attachment.ts";
import type { BranchExchange } from "./branch_exchange.ts";
import type { OrderQueue } from "./order_queue.ts";
import { ConditionVariable } from "./condition_variable.ts";

/** Dependencies of the handlers. */
export interface AgentServiceOptions {
  core: AgentCore;
  branches: BranchExchange;
  orders: OrderQueue;
  reportModels: () => ModelsReport;
  dumpState: () => string;
  clock: Clock;
  log: Logger;
}

type RunCall = ServerDuplexStream<RunUp, RunDown>;

/** How long a reader has to acknowledge the end of a run before its stream is closed. */
const ACK_TIMEOUT_MS = 2000;

/**
 * @param options Dependencies of the handlers.
 * @returns Handlers of `AgentService`.
 */
export function buildAgentService(options: AgentServiceOptions): AgentServer {
  const { core, branches, orders } = options;
  return {
    ask: handleUnary((request) => core.ask(request)),
    run: serveRuns(options),
    cancel: handleUnary((request) => core.cancel(request)),
    order: handleUnary((request) => orders.execute(request)),
    reportModels: handleUnary(() => options.reportModels()),
    fetchBranches: handleUnary((request) => branches.fetch(request)),
    pushBranches: handleUnary((reply) => branches.apply(reply)),
    dumpState: handleUnary(() => ({ json: options.dumpState() })),
  };
}

function handleUnary<Q, A>(
  handle: (request: Q) => A | Promise<A>,
): handleUnaryCall<Q, A> {
  return async (call, callback) => {
    try {
      callback(null, await handle(call.request));
    } catch (error) {
      callback({ code: status.INTERNAL, details: String(error) });
    }
  };
}

function serveRuns(
  options: AgentServiceOptions,
): handleBidiStreamingCall<RunUp, RunDown> {
  return (call) => {
    serveRun(call, options).catch((error: unknown) => {
      options.log.error({ err: error }, "Run stream failed");
      call.destroy();
    });
  };
}

async function serveRun(
  call: RunCall,
  options: AgentServiceOptions,
): Promise<void> {
  // The "cancelled" and "close" events cover failed calls, so errors are ignored here.
  call.on("error", () => {});
  const start = await readStart(call);
  if (!start) return void call.end();
  const opened = options.core.open(start);
  const sink = buildSink(call);
  switch (opened.kind) {
    case "attached":
      await serveAttachment(call, opened.attachment, { ...options, sink });
      break;
    case "refused":
      await sink.send({ step: { $case: "refusal", value: opened.refusal } });
      break;
    case "gone":
      await sink.send({ step: { $case: "end", value: opened.end } });
      break;
  }
  call.end();
}

async function serveAttachment(
  call: RunCall,
  attachment: Attachment,
  { core, clock, sink }: AgentServiceOptions & { sink: RunSink },
): Promise<void> {
  const done = new AbortController();
  const close = () => {
    done.abort();
    core.detach(attachment);
  };
  call.on("data", ({ step }: RunUp) => {
    if (step?.$case !== "ack") return;
    attachment.acknowledge(step.value.nextSeq, clock.nowMs());
  });
  call.once("end", () => {
    attachment.markReaderDone();
    done.abort();
  });
  call.once("cancelled", close);
  call.once("close", close);
  call.resume();
  await attachment.sendOutput(sink);
  if (!attachment.isDetached) await clock.sleep(ACK_TIMEOUT_MS, done.signal);
  core.detach(attachment);
}

/** Reads the first message; undefined if the stream ended or the message is not a start. */
function readStart(call: RunCall): Promise<StartRun | undefined> {
  return new Promise((resolve) => {
    const settle = (start: StartRun | undefined) => {
      call.off("data", onMessage);
      resolve(start);
    };
    const onMessage = ({ step }: RunUp) => {
      call.pause();
      settle(step?.$case === "start" ? step.value : undefined);
    };
    call.on("data", onMessage);
    call.once("end", () => settle(undefined));
    call.once("cancelled", () => settle(undefined));
  });
}

function buildSink(call: RunCall): RunSink {
  const writable = ConditionVariable.create();
  for (const event of ["drain", "cancelled", "close"]) {
    call.on(event, () => writable.notify());
  }
  return {
    send(message) {
      if (call.cancelled || call.destroyed) return;
      if (call.write(message)) return;
      return writable.wait();
    },
  };
}
