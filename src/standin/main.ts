/** Command-line entry point: runs one stand-in in its own process until SIGTERM or SIGINT. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import type { LoadedModel } from "../backends/mod.ts";
import {
  StandinEngine,
  StandinInstanceList,
  StandinKv,
  StandinService,
  StandinWeightStore,
} from "./mod.ts";

/** Kinds of stand-ins that can be started. */
const KINDS = ["engine", "service", "kv", "instances", "weights"] as const;
type Kind = (typeof KINDS)[number];

/** A running stand-in. */
interface Running {
  address: string;
  close(): Promise<void>;
}

/** Options of a stand-in by camel-case name. */
type Options = Record<string, unknown>;

const parsed = await yargs(hideBin(process.argv))
  .command(
    "$0 <kind>",
    "Run a stand-in",
    (command) =>
      command.positional("kind", { choices: KINDS, demandOption: true }),
  )
  .option("listen", { type: "string", default: "127.0.0.1:0" })
  .option("control", {
    type: "string",
    default: "",
    describe: "Control listener (kv)",
  })
  .option("enforceFencing", { type: "boolean" })
  .option("models", {
    type: "string",
    describe: "model[:adapter[:version]], comma-separated",
  })
  .parse();

const running = await start(
  parsed["kind"] as Kind,
  toOptions(parsed as Options),
);
process.stdout.write(`${JSON.stringify(describe(running))}\n`);
for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.once(signal, () => void running.close().then(() => process.exit(0)));
}

async function start(kind: Kind, options: Options): Promise<Running> {
  switch (kind) {
    case "engine":
      return await StandinEngine.create(options);
    case "service":
      return await StandinService.create(options);
    case "kv":
      return await StandinKv.create(options);
    case "instances":
      return await StandinInstanceList.create(options);
    case "weights":
      return await StandinWeightStore.create(options);
  }
}

function describe(standin: Running): Record<string, string> {
  const listening = standin.address;
  if (!(standin instanceof StandinKv)) return { listening };
  return { listening, control: standin.controlAddress };
}

function toOptions(flags: Options): Options {
  const { listen, control, models, ...options } = flags;
  const named = { ...options, listenAddress: listen, controlAddress: control };
  if (typeof models !== "string") return named;
  return { ...named, models: models.split(",").map(toModel) };
}

function toModel(text: string): LoadedModel {
  const [model = "", adapter = "", weightsVersion = "1"] = text.split(":");
  return { model, adapter, weightsVersion };
}
