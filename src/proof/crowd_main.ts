/**
 * `npm run crowd -- --rates 2000,5000`: real entries get new connections evenly, and then most of them at
 * one entry. Prints, per rate, which part of the first tries that were read was served.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Child } from "../e2e/_child.ts";
import type {
  CrowdClientInput,
  CrowdClientOutput,
  CrowdCounts,
} from "./_crowd_client.ts";
import { SoakFleet } from "./_soak_fleet.ts";

const ENTRIES = 4;
const SERVER_PROCESSES = 4;
const SERVERS_PER_PROCESS = 4;
const CLIENTS = 3;
const WARM_UP_MS = 5000;
const EVEN_MS = 4000;
const CROWD_MS = 9000;
const CROWD_SHARE = 0.85;
/** The platform counts requests from this time after the crowd begins. */
const SETTLE_MS = 3000;

async function main(): Promise<void> {
  const options = await yargs(hideBin(process.argv))
    .option("rates", { type: "string", default: "2000" })
    .strict().parse();
  for (const rate of options.rates.split(",").map(Number)) {
    console.log(`${rate} connections a second: ${await runAt(rate)}`);
  }
}

async function runAt(rate: number): Promise<string> {
  const watcher = { onCrash: () => {}, onCutEnd: () => {}, onReturn: () => {} };
  const sizes = { entryCount: ENTRIES, serverCount: 0, durationMs: 0 };
  const fleet = await SoakFleet.create(sizes, watcher);
  const children: Child[] = [];
  try {
    for (let i = 0; i < SERVER_PROCESSES; i++) {
      const child = Child.create({
        program: "proof/_crowd_servers",
        args: [`i-${i}`, String(SERVERS_PER_PROCESS)],
      });
      children.push(child);
      const registrations = await child.started<Record<string, object>>();
      for (const [id, registration] of Object.entries(registrations)) {
        await fleet.store.put(`servers/${id}`, registration);
      }
    }
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    const clients = Array.from({ length: CLIENTS }, (_, i) => {
      const input: CrowdClientInput = {
        seed: i + 1,
        port: fleet.entries[0]!.clientPort,
        ipAddresses: fleet.entries.map(({ ipAddress }) => ipAddress),
        requestsPerSecond: rate / CLIENTS,
        warmUpMs: WARM_UP_MS,
        evenMs: EVEN_MS,
        crowdMs: CROWD_MS,
        crowdShare: CROWD_SHARE,
        settleMs: SETTLE_MS,
      };
      return Child.create({
        program: "proof/_crowd_client",
        args: [JSON.stringify(input)],
      });
    });
    children.push(...clients);
    const outputs = await Promise.all(
      clients.map((client) => client.started<CrowdClientOutput>()),
    );
    return (["even", "settling", "crowd"] as const).map((phase) =>
      `${phase} ${describe(outputs.map((output) => output[phase]))}`
    ).join("; ");
  } finally {
    for (const child of children) await child.close();
    await fleet.close();
  }
}

function describe(all: CrowdCounts[]): string {
  const sum = (key: keyof CrowdCounts) =>
    all.reduce((total, counts) => total + counts[key], 0);
  const share = (part: number, whole: number) =>
    (part / Math.max(1, whole)).toFixed(3);
  const sent = sum("sent");
  return `${share(sum("servedFirst"), sum("read"))} of ${sum("read")} read, ${
    share(sum("unread"), sent)
  } unread, ${share(sum("served"), sent)} served in the end`;
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 1;
});
