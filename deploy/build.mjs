// Bundles the router into one file and compiles it, so that a restart costs little processor time.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { rmSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";

const here = (path) => fileURLToPath(new URL(path, import.meta.url));

/** Those of the deploy file: code that was compiled with other flags is not used. */
const FLAGS = ["--max-old-space-size=96", "--max-semi-space-size=2"];
/** The router starts, finds no store and serves nobody; what it needs for that is compiled then. */
const COMPILE_MS = 700;

await build({
  entryPoints: [here("../src/router/main.ts")],
  outfile: here("../target/router.cjs"),
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  logLevel: "warning",
  // Its binary stays with the package.
  external: ["koffi"],
  // The bundle runs in a script of node:vm, which has no import().
  supported: { "dynamic-import": false },
  alias: {
    "undici": here("./bundle/undici.cjs"),
    "hdr-histogram-js": here("./bundle/hdr_histogram.cjs"),
  },
});

rmSync(here("../target/router.cache"), { force: true });
compile();

function compile() {
  // An address of its own: builds may run side by side.
  const ipAddress = `127.${1 + process.pid % 250}.${
    (process.pid >> 8) % 250
  }.1`;
  const args = [here("start.cjs"), "--write-cache-after-ms", `${COMPILE_MS}`];
  try {
    execFileSync(process.execPath, [...FLAGS, ...args], {
      stdio: "ignore",
      env: {
        CICADAHITCH_INSTANCE: "build",
        CICADAHITCH_ZONE: "build",
        CICADAHITCH_IP_ADDRESS: ipAddress,
        CICADAHITCH_CLIENT_ADDRESS: `${ipAddress}:23701`,
        CICADAHITCH_READINESS_ADDRESS: `${ipAddress}:23702`,
        CICADAHITCH_CONTROL_ADDRESS: `${ipAddress}:23703`,
        CICADAHITCH_PEER_PORT: "23704",
        CICADAHITCH_STORE_ADDRESS: `${ipAddress}:23705`,
        CICADAHITCH_GRACE_S: "1",
        CICADAHITCH_SEED_ADDRESSES: "",
        CICADAHITCH_ENGINES_CHECK_FENCES: "",
      },
    });
  } catch (error) {
    console.warn(`Code is compiled at each start: ${error.message}`);
  }
}
