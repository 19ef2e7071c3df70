// Bundles the router into one file, so that a restart costs little processor time.
import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const here = (path) => fileURLToPath(new URL(path, import.meta.url));

await build({
  entryPoints: [here("../src/router/main.ts")],
  outfile: here("../target/router.mjs"),
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  logLevel: "warning",
  alias: {
    "undici": here("./bundle/undici.cjs"),
    "hdr-histogram-js": here("./bundle/hdr_histogram.cjs"),
  },
  banner: {
    // Libraries in CommonJS ask for Node's modules by `require`.
    js: 'import { createRequire } from "node:module";\n' +
      "const require = createRequire(import.meta.url);",
  },
});
