/** Entry point of the router process: reads settings from the environment, logs JSON lines to stdout. */
import process from "node:process";
import { createLogger } from "../base/log.ts";
import { Router } from "./router.ts";
import { readSettings } from "./settings.ts";

/** Exit code for invalid settings. */
const EXIT_BAD_SETTINGS = 78;
/** Exit code for an uncaught exception. */
const EXIT_UNCAUGHT = 70;

async function main(): Promise<void> {
  const settings = readSettings(process.env);
  if (settings.isErr) {
    for (const fault of settings.error) {
      process.stdout.write(
        JSON.stringify({ event: "bad_setting", ...fault }) + "\n",
      );
    }
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const { instance, logLevel } = settings.value;
  const log = createLogger({
    level: logLevel,
    role: "router",
    processId: instance,
    toStdout: true,
  });
  process.on("uncaughtException", (error) => {
    log.fatal({
      event: "uncaught",
      message: error.message,
      stack: error.stack,
    });
    log.flush(() => process.exit(EXIT_UNCAUGHT));
  });
  // Node's default listener prints plain text, which is no JSON log line.
  process.removeAllListeners("warning");
  process.on("warning", ({ name, message, stack }) => {
    log.warn({ event: "process_warning", name, message, stack });
  });
  const router = await Router.create({ settings: settings.value, log });
  process.on("SIGHUP", () => {
    // Settings come from the environment and can't change while the process runs.
    log.info({ event: "reload_asked" });
  });
  let isStopping = false;
  // Without a listener, a second signal would end the process with its requests in flight.
  process.on("SIGTERM", () => {
    if (isStopping) {
      log.info({ event: "stop_asked_again" });
      return;
    }
    isStopping = true;
    void router.drain().then(() => log.flush(() => process.exit(0)));
  });
}

void main();
