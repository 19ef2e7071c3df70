/** `npm run docs:settings`: regenerates the settings section of docs/OPERATING.md. */
import { readFileSync, writeFileSync } from "node:fs";
import { updatePage } from "./settings_page.ts";

const path = new URL("../../docs/OPERATING.md", import.meta.url);
writeFileSync(path, updatePage(readFileSync(path, "utf8")));
