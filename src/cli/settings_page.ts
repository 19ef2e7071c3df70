/** Generates the settings section of docs/OPERATING.md from the tables to keep it up to date. */
import {
  describeDefault,
  flagOf,
  type SettingTable,
  variableOf,
} from "./settings.ts";
import {
  AGENT_SETTINGS,
  DEV_SETTINGS,
  ENTRY_SETTINGS,
  STATE_SETTINGS,
} from "./setting_tables.ts";

/** Marker line before the generated section. */
export const PAGE_START =
  "<!-- settings: written by `npm run docs:settings` -->";
/** Marker line after the generated section. */
export const PAGE_END = "<!-- end of settings -->";

const TABLES: readonly (readonly [string, SettingTable])[] = [
  ["entry", ENTRY_SETTINGS],
  ["agent", AGENT_SETTINGS],
  ["state", STATE_SETTINGS],
  ["dev", DEV_SETTINGS],
];
const HEADER = ["Flag", "Variable", "Unit or form", "Default", "Meaning"];

/** Thrown for a page without the two marker lines around its settings section. */
export class PageMarkersMissingError extends Error {
  constructor() {
    super(`Expected the lines ${PAGE_START} and ${PAGE_END}`);
  }
}

/**
 * @param page Text of the page.
 * @returns The text with its settings section regenerated.
 */
export function updatePage(page: string): string {
  const start = page.indexOf(PAGE_START);
  const end = page.indexOf(PAGE_END);
  if (start < 0 || end < start) throw new PageMarkersMissingError();
  const head = page.slice(0, start + PAGE_START.length);
  return `${head}\n\n${renderTables()}\n${page.slice(end)}`;
}

function renderTables(): string {
  return TABLES.map(([command, table]) =>
    `### \`cicadahitch ${command}\`\n\n${renderTable(table)}\n`
  ).join("\n");
}

function renderTable(table: SettingTable): string {
  const rows = Object.entries(table).map(([name, setting]) => [
    code(flagOf(name)),
    code(variableOf(name)),
    setting.unit,
    code(describeDefault(setting)),
    setting.describe,
  ]);
  const widths = HEADER.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0))
  );
  const dashes = widths.map((width) => "-".repeat(width));
  return [HEADER, dashes, ...rows].map((row) => renderRow(row, widths))
    .join("\n");
}

function renderRow(cells: string[], widths: number[]): string {
  const padded = cells.map((cell, column) => cell.padEnd(widths[column] ?? 0));
  return `| ${padded.join(" | ")} |`;
}

function code(text: string): string {
  return "`" + text + "`";
}
