/** The router as a process: settings from the environment, JSON lines on standard output. */
import process from "node:process";
import { createLogger } from "../base/log.ts";
import { Router } from "./router.ts";
import { readSettings } from "./settings.ts";

/** Exit code for settings that are not allowed. */
const BAD_SETTINGS = 78;
/** Exit code for a failure that nothing handles. */
const FAILED = 70;

async function main(): Promise<void> {
  const settings = readSettings(process.env);
  if (settings.isErr) {
    for (const fault of settings.error) {
      process.stdout.write(
        JSON.stringify({ event: "bad_setting", ...fault }) + "\n",
      );
    }
    process.exitCode = BAD_SETTINGS;
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
    log.flush(() => process.exit(FAILED));
  });
  // Node's own listener writes plain text.
  process.removeAllListeners("warning");
  process.on("warning", ({ name, message, stack }) => {
    log.warn({ event: "process_warning", name, message, stack });
  });
  const router = await Router.create({ settings: settings.value, log });
  process.on("SIGHUP", () => {
    // Settings come from the environment and hold as long as the process does.
    log.info({ event: "reload_asked" });
  });
  process.once("SIGTERM", () => {
    void router.drain().then(() => log.flush(() => process.exit(0)));
  });
}

void main();
