/** Renders the tables of docs/CAPACITY.md. */
import type { CapacityLine } from "./line.ts";
import type { CapacityTotal } from "./lines.ts";
import { ASSUMPTIONS, PLAN } from "./sizes.ts";
import type { Slope } from "./slopes.ts";

/** Data shown on the page. */
export interface PageContent {
  slopes: Slope[];
  lines: CapacityLine[];
  totals: CapacityTotal[];
}

/**
 * Replaces the tables between `<!-- name -->` and `<!-- /name -->` and keeps all other text.
 *
 * @param page Current text of the page.
 * @param content Data for the tables.
 * @returns The page with updated tables.
 */
export function renderPage(page: string, content: PageContent): string {
  const tables = {
    totals: totalsTable(content.totals),
    lines: linesTable(content.lines),
    slopes: slopesTable(content.slopes),
    assumed: assumedTable(),
  };
  let updated = page;
  for (const [name, table] of Object.entries(tables)) {
    const pattern = new RegExp(`(<!-- ${name} -->\\n)[^]*?(<!-- /${name} -->)`);
    updated = updated.replace(
      pattern,
      (_all, open: string, close: string) => `${open}\n${table}\n${close}`,
    );
  }
  return updated;
}

/**
 * Compares two pages, ignoring the table padding that the formatter adds.
 *
 * @param left Text of a page.
 * @param right Text of another page.
 * @returns Whether the pages are equal except for padding.
 */
export function isSamePage(left: string, right: string): boolean {
  return stripPadding(left) === stripPadding(right);
}

function stripPadding(page: string): string {
  return page.replace(/ +/g, " ").replace(/-{3,}/g, "---");
}

function totalsTable(totals: CapacityTotal[]): string {
  return table(
    [
      "role",
      "resource",
      "control at the size to design for",
      "budget",
      "within",
    ],
    totals.map((total) => [
      total.role,
      total.resource,
      round(total.amount),
      round(total.budget),
      total.amount <= total.budget ? "yes" : "**no**",
    ]),
  );
}

function linesTable(lines: CapacityLine[]): string {
  return table(
    ["role", "line", "amount", "mechanism", "from slope"],
    lines.map((line) => [
      line.role,
      line.what,
      `${round(line.amount)} ${line.resource}`,
      line.mechanism,
      line.slopes.length > 0
        ? line.slopes.map((name) => `\`${name}\``).join(", ")
        : "plan alone",
    ]),
  );
}

function slopesTable(slopes: Slope[]): string {
  return table(
    ["slope", "what", "points (x: y)", "slope", "spread over runs", "command"],
    slopes.map((slope) => [
      `\`${slope.name}\``,
      slope.what,
      slope.points.map(({ x, y }) => `${round(x)}: ${round(y)}`).join("; "),
      `${round(slope.slope)} ${slope.unit} per ${slope.per}`,
      slope.spread.map(round).join(" to "),
      `\`${slope.command}\``,
    ]),
  );
}

function assumedTable(): string {
  const rows = Object.entries({ ...PLAN, ...ASSUMPTIONS });
  return table(
    ["input", "value", "source"],
    rows.map(([name, value]) => [
      name,
      round(value),
      name in PLAN ? "the users' plan" : "assumed here",
    ]),
  );
}

function table(head: string[], rows: string[][]): string {
  const line = (cells: string[]) =>
    `| ${cells.map((cell) => cell.replaceAll("|", "\\|")).join(" | ")} |`;
  return [line(head), line(head.map(() => "---")), ...rows.map(line), ""].join(
    "\n",
  );
}

function round(value: number): string {
  if (value === 0) return "0";
  const magnitude = Math.abs(value);
  if (magnitude >= 1000) return Math.round(value).toLocaleString("en-US");
  return String(Number(value.toPrecision(3)));
}
